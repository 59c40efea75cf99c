#pragma once

#include "decisions/maps/expert_map.h"

#include <span>

namespace appleramp {

// Packs the experts from nothing, heaviest first onto the rank with least load; no replicas.
expert_map packedMap(const group_shape& shape, std::span<const double> loads);

// The same, after every spare place has gone to a replica of the expert with the greatest load per replica. Replicas
// share evenly. Today's map plays no part.
expert_map packedMapWithReplicas(const group_shape& shape, std::span<const double> loads);

} // namespace appleramp
