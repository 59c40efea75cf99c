#pragma once

#include "decisions/maps/expert_map.h"

#include <cstdint>
#include <span>
#include <vector>

namespace appleramp {

// How a map does in one layer, in load over speed.
struct layer_figures {
    // The slowest rank's time under the planned map.
    double time = 0;
    // No map can do better than this.
    double bound = 0;
    // Experts that ranks have to load.
    std::uint32_t moves = 0;
};

struct map_plan {
    expert_map map;
    std::vector<layer_figures> layers;
};

// How far a plan may go.
struct plan_options {
    // Gap to the lower bound at which the planner stops adding replicas.
    double tolerance = 0.01;
    // If false, experts stay where they are and only the shares of replicas change.
    bool allowMoves = true;
};

// Plans expert maps: replicas of hot experts in the spare places, packed to the least time of the slowest rank.
//
// Starts from today's map, so that few experts move. A pure function of its arguments; rebalance_policy decides whether
// a plan is worth its moves. Loads are given per layer and expert in any one unit.
class map_planner {
public:
    explicit map_planner(group_shape shape);

    const group_shape& shape() const { return m_shape; }
    // An empty map as today's plans from nothing.
    map_plan plan(const expert_map& today, std::span<const double> loads, const plan_options& options) const;
    // Plans these layers anew and leaves the others as they are.
    map_plan plan(const expert_map& today, std::span<const double> loads, const plan_options& options,
        std::span<const layer_index> layers) const;

private:
    group_shape m_shape;
};

// A map with the experts dealt out evenly and without replicas.
expert_map evenMap(const group_shape& shape);

} // namespace appleramp
