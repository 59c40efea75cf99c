#pragma once

#include "model/instance.h"
#include "model/platform_call.h"

#include <nlohmann/json_fwd.hpp>

namespace appleramp {

// JSON shapes of the platform's HTTP protocol. Readers throw platform_error on anything else.

nlohmann::json rowToJson(const table_row& row);
table_row rowFromJson(const nlohmann::json& json);

// One element of a batch. Object calls have no such shape and throw.
nlohmann::json callToJson(const platform_call& call);
platform_call callFromJson(const nlohmann::json& json);

nlohmann::json instanceToJson(const listed_instance& instance);
listed_instance instanceFromJson(const nlohmann::json& json);

} // namespace appleramp
