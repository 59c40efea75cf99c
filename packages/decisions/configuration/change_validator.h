#pragma once

#include "model/configuration.h"

#include <optional>
#include <string>

namespace appleramp {

// Returns an error message for the operator, or nothing if the change may be committed. The result depends only on the
// change's own values, so every entry comes to the same result.
std::optional<std::string> validateChange(const std::string& changeId, const configuration_change& change);

} // namespace appleramp
