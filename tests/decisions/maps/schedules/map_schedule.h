#pragma once

#include <cstdint>
#include <string>

namespace appleramp::testing {

// What came out of one schedule.
struct schedule_result {
    std::uint64_t mixedSteps = 0;
    // Orders that an agent gave its engine under a number below the highest it had seen, or before it had learnt one.
    std::uint64_t staleOrders = 0;
    // 1 if the group stood longer than the bound after the last fault.
    std::uint64_t heldForGood = 0;
    std::uint64_t changes = 0;
    std::uint64_t endings = 0;
    std::uint64_t steps = 0;
    // The longest time without a step after the last fault.
    std::int64_t standstillMs = 0;
    // The longest time that a rank was held after its start.
    std::int64_t longestHoldMs = 0;
    std::string plan;
    // Journal of the coordinators, if it was asked for.
    std::string journal;

    bool broken() const { return mixedSteps + staleOrders + heldForGood > 0; }
};

// Plays the coordination of one group, with the faults drawn from the seed, in virtual time.
schedule_result playSchedule(std::uint64_t seed, bool withFaults = true, bool keepJournal = false);

} // namespace appleramp::testing
