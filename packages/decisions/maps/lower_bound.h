#pragma once

#include "decisions/maps/expert_map.h"

#include <span>

namespace appleramp {

// The least time of the slowest rank that any map of one layer can have, in load over speed.
//
// The greater of two bounds: all work spread over all ranks by speed, and the replicas that the hot experts need if no
// rank is to work longer, which have to fit in the group's places.
double layerTimeBound(std::span<const double> loads, const group_shape& shape);

} // namespace appleramp
