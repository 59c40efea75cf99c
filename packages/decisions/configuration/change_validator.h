#pragma once

#include "model/configuration.h"

#include <optional>
#include <string>

namespace appleramp {

// What is wrong with an operator's change, in words for the operator; nothing if it may be committed. A change is judged
// by its own values, so every entry judges alike.
std::optional<std::string> findFault(const std::string& changeId, const configuration_change& change);

} // namespace appleramp
