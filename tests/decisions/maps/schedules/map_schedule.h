#pragma once

#include <cstdint>
#include <string>

namespace appleramp::testing {

// Result of one schedule.
struct schedule_result {
    std::uint64_t mixedSteps = 0;
    // Number of orders that an agent gave its engine with a fencing number below the highest it had promised, or before
    // it had read the number from the table.
    std::uint64_t staleOrders = 0;
    // 1 if, after the last fault, the group went without ending a step for longer than the limit; otherwise 0.
    std::uint64_t permanentHolds = 0;
    std::uint64_t changes = 0;
    std::uint64_t endings = 0;
    std::uint64_t steps = 0;
    // The longest time without the end of a step after the last fault.
    std::int64_t standstillMs = 0;
    // The longest hold of a rank, not counting the hold that an engine starts with.
    std::int64_t longestHoldMs = 0;
    std::string plan;
    // The coordinators' journal, if requested.
    std::string journal;

    bool violatesInvariant() const { return mixedSteps + staleOrders + permanentHolds > 0; }
};

// Simulates the coordination of one group in virtual time, with faults drawn from the seed.
schedule_result playSchedule(std::uint64_t seed, bool withFaults = true, bool keepJournal = false);

} // namespace appleramp::testing
