#pragma once

#include "decisions/maps/rebalance_policy.h"
#include "maps/popularity_process.h"

#include <cstdint>
#include <string_view>

namespace appleramp {

enum class policy_kind {
    StaticEven,
    // Every hour a new packing without replicas.
    PeriodicRebuild,
    // Every hour a new packing with replicas that share evenly.
    PeriodicReplicas,
    // Every hour a new plan by map_planner with no map to start from: what blindness to moves costs by itself.
    PeriodicPlanner,
    Appleramp,
};

std::string_view nameOf(policy_kind kind);

struct simulation_settings {
    policy_kind policy = policy_kind::Appleramp;
    drift_kind drift = drift_kind::Slow;
    std::uint16_t ranks = 128;
    std::uint64_t seed = 1;
    rebalance_settings rebalance;
};

struct simulation_figures {
    // Slowest rank's time over the time with all work spread by speed, over all layers and windows.
    double skewMean = 0;
    double skewP99 = 0;
    double ratioToBoundMean = 0;
    double ratioToBoundP99 = 0;
    // The same ratio for the sum over layers, which is the step time.
    double stepRatioToBoundMean = 0;
    double bytesPerHour = 0;
    double heldSecondsPerHour = 0;
    double switchesPerHour = 0;
    // Processor time of one decision that planned, in the mean and at most.
    double mapMs = 0;
    double mapMsMax = 0;
    std::uint64_t mapBytes = 0;
    // Sum of step times over windows, for comparison with other policies of the same seed.
    double stepTime = 0;
    double hours = 0;
};

group_shape simulatedGroup(std::uint16_t ranks);

// Plays one policy against one seeded drift and measures it.
simulation_figures simulate(const simulation_settings& settings);

} // namespace appleramp
