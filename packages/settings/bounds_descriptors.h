#pragma once

#include "settings/setting_descriptor.h"

#include <vector>

namespace appleramp {

// The keys of section [bounds]: the times and budgets that the deployment guarantees.
std::vector<setting_descriptor> boundsDescriptors();

} // namespace appleramp
