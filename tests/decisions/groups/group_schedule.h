#pragma once

#include <cstdint>
#include <string>

namespace appleramp {

// Faults of one schedule, each as a probability or a count within its time.
struct group_faults {
    double messageLoss = 0;
    double messageDoubled = 0;
    // Orders that are left unanswered and carried out 2 to 12 s later.
    double ordersLate = 0;
    // Orders that are carried out at once and not answered.
    double answersLost = 0;
    int agentKills = 0;
    int agentFreezes = 0;
    int newEpochs = 0;
    // Some agents hear nothing from the others for a while.
    int cuts = 0;
};

struct group_schedule_result {
    std::uint64_t mixedPasses = 0;
    std::uint64_t mapChanges = 0;
    // Longest time without a pass, in milliseconds: while faults lasted, and afterwards.
    std::int64_t longestHeldMs = 0;
    std::int64_t heldAfterFaultsMs = 0;
};

// Plays agents around a fake group for some seconds of virtual time; the faults end before the last ones.
group_schedule_result playGroupSchedule(std::uint64_t seed, const group_faults& faults);

// Faults drawn from the seed, alone or together.
group_faults drawGroupFaults(std::uint64_t seed);

} // namespace appleramp
