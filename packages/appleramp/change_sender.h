#pragma once

#include "model/configuration.h"

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace appleramp {

class operations_client;

// Returns a unique id, by which the fleet recognises a change that is sent again.
std::string newChangeId();

// Sends a change to an entry. Returns {"version": N, "change_id": ID} once the entry has accepted it. Throws
// command_error if the change was refused or its outcome is unknown; the message contains the change id.
nlohmann::json sendChange(const operations_client&, const std::string& changeId, const configuration_change&);

} // namespace appleramp
