#pragma once

#include "model/configuration.h"

#include <string>
#include <string_view>

namespace appleramp {

// Encodes to the JSON text that is stored in the table service and returned to operators.
std::string encodeConfiguration(const fleet_configuration& configuration);
std::string encodeAcceptedChange(const accepted_change& change);

// Each throws wire_error with the cause if the text is invalid.
fleet_configuration decodeConfiguration(std::string_view text);
accepted_change decodeAcceptedChange(std::string_view text);
configuration_change decodeChange(std::string_view text);

} // namespace appleramp
