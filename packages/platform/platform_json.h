#pragma once

#include "model/instance.h"
#include "model/platform_call.h"

#include <nlohmann/json_fwd.hpp>

namespace appleramp {

// JSON encoding of the platform's HTTP protocol. The parsing functions throw platform_error on unexpected input.

nlohmann::json rowToJson(const table_row& row);
table_row rowFromJson(const nlohmann::json& json);

// Encoding of one call in a batch. callToJson() throws platform_error for object calls, which cannot be batched.
nlohmann::json callToJson(const platform_call& call);
platform_call callFromJson(const nlohmann::json& json);

nlohmann::json instanceToJson(const listed_instance& instance);
listed_instance instanceFromJson(const nlohmann::json& json);

} // namespace appleramp
