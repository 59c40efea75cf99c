#pragma once

#include "model/configuration.h"

#include <string>
#include <string_view>
#include <vector>

namespace appleramp {

// Parses a fleet configuration and rejects unknown members and values out of range. Throws command_error that names the
// member; messages start with sourceName.
fleet_configuration readDocument(std::string_view json, std::string_view sourceName);

// Returns the changes of defaults and services that turn one configuration into the other. Throws command_error if the
// configurations differ in exceptions, zones or instances, since these have commands of their own.
std::vector<configuration_change> changesBetween(const fleet_configuration& from, const fleet_configuration& to);

} // namespace appleramp
