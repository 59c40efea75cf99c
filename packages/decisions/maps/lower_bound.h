#pragma once

#include "decisions/maps/expert_map.h"

#include <span>

namespace appleramp {

// Lower bound of the slowest rank's time over all maps of one layer, as load divided by speed.
//
// The greater of two bounds: the total load spread over all ranks in proportion to their speed, and the shortest time
// for which the replicas that the hot experts then need still fit into the group's places.
double layerTimeBound(std::span<const double> loads, const group_shape& shape);

} // namespace appleramp
