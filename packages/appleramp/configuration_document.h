#pragma once

#include "model/configuration.h"

#include <string>
#include <string_view>
#include <vector>

namespace appleramp {

// Reads a fleet configuration strictly: no member may be unknown or out of range. Throws command_error naming it.
fleet_configuration readDocument(std::string_view json, std::string_view nameForErrors);

// The changes of defaults and services that lead from one configuration to another. Throws command_error if they differ
// in what has commands of its own: exceptions, zones and instances.
std::vector<configuration_change> changesBetween(const fleet_configuration& from, const fleet_configuration& to);

} // namespace appleramp
