#pragma once

#include "model/configuration.h"

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace appleramp {

class operations_client;

// Unique, so that the fleet recognises a change that is sent again.
std::string newChangeId();

// Sends one change to an entry. Returns what the entry accepted: {"version": N, "change_id": ID}. Throws command_error
// if it was refused, or if its outcome is unknown; then the error names the id.
nlohmann::json sendChange(const operations_client&, const std::string& changeId, const configuration_change&);

} // namespace appleramp
