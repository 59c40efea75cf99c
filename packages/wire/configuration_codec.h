#pragma once

#include "model/configuration.h"

#include <string>
#include <string_view>

namespace appleramp {

// JSON text of configuration, as it stands in the table service and in answers to operators.
std::string encodeConfiguration(const fleet_configuration& configuration);
std::string encodeAcceptedChange(const accepted_change& change);

// Each throws wire_error naming what is wrong.
fleet_configuration decodeConfiguration(std::string_view text);
accepted_change decodeAcceptedChange(std::string_view text);
configuration_change decodeChange(std::string_view text);

} // namespace appleramp
