#pragma once

#include "decisions/maps/expert_map.h"

#include <cstdint>
#include <span>
#include <vector>

namespace appleramp {

// Estimated cost of a planned map in one layer. Times are load divided by speed.
struct layer_estimate {
    // Time of the slowest rank under the planned map.
    double time = 0;
    // Lower bound of that time over all possible maps.
    double bound = 0;
    // Number of experts that ranks have to load, over all ranks.
    std::uint32_t moves = 0;
};

struct map_plan {
    expert_map map;
    std::vector<layer_estimate> layers;
};

// Limits on what a plan may change.
struct plan_options {
    // Relative gap to the lower bound at which the planner stops adding replicas.
    double tolerance = 0.01;
    // If false, no expert is loaded anywhere and only the load shares of existing replicas change.
    bool allowMoves = true;
};

// Plans expert maps: puts replicas of hot experts into spare places to minimise the time of the slowest rank.
//
// Starts from the current map, so that few experts move. Plans depend on the arguments only; rebalance_policy decides
// whether a plan is worth its moves. Loads are given layer by layer for each expert, all in the same unit.
class map_planner {
public:
    explicit map_planner(group_shape shape);

    const group_shape& shape() const { return m_shape; }
    // With an empty current map, plans from scratch.
    map_plan plan(const expert_map& current, std::span<const double> loads, const plan_options& options) const;
    // Plans the given layers again and leaves the others unchanged.
    map_plan plan(const expert_map& current, std::span<const double> loads, const plan_options& options,
        std::span<const layer_index> layers) const;

private:
    group_shape m_shape;
};

// Returns a map that distributes the experts round-robin over the ranks, without replicas.
expert_map evenMap(const group_shape& shape);

} // namespace appleramp
