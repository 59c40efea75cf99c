#pragma once

#include <cstdint>
#include <string>

namespace appleramp {

// Faults of one schedule: probabilities (double) for each message or order, and counts (int) for the whole fault period.
struct group_faults {
    double messageLoss = 0;
    double messageDuplication = 0;
    // Orders that are not answered and are carried out 2 to 12 s later.
    double lateOrders = 0;
    // Orders that are carried out at once but not answered.
    double lostAnswers = 0;
    int agentKills = 0;
    int agentFreezes = 0;
    // The group forms again in a new epoch.
    int regroupings = 0;
    // An agent is cut off from all other agents and their engines for a while.
    int disconnections = 0;
    // Orders from another rank's agent that are lost, late or carried out twice, the second time late.
    double foreignOrderFaults = 0;
    // While an agent is frozen, agents of other ranks get no answer from its engine, and orders that they send meanwhile are
    // lost or carried out when it wakes.
    bool frozenEnginesAreUnreachable = false;
    // The first agent that gives a hold after 8 s freezes for 4 s, or is killed for 4 s, as it has sent the order.
    bool freezeAtHold = false;
    bool killAtHold = false;
    // The agents use switches with a single hold. Below 1, only those of this part of the ranks do.
    double singleHold = 0;
};

struct group_schedule_result {
    // Passes that began with different maps on different ranks.
    std::uint64_t mixedPasses = 0;
    std::uint64_t mapChanges = 0;
    // Longest time without a pass, in milliseconds: in the whole run, and after the effects of the faults should be over.
    std::int64_t longestHeldMs = 0;
    std::int64_t heldAfterFaultsMs = 0;
    std::uint64_t orders = 0;
    // Those of them to another rank's engine.
    std::uint64_t foreignOrders = 0;
};

// Runs agents around a fake group for 40 s of virtual time. Faults begin only in the first 20 s.
group_schedule_result runGroupSchedule(std::uint64_t seed, const group_faults& faults);

// Draws from the seed which faults occur, alone or in combination.
group_faults drawGroupFaults(std::uint64_t seed);

} // namespace appleramp
