#pragma once

#include "schedules/broken_invariants.h"
#include "schedules/fault_plan.h"

#include <cstdint>
#include <vector>

namespace appleramp::tests {

struct schedule_result {
    broken_invariants broken;
    std::vector<fault_kind> faults;
    std::uint64_t prompts = 0;
    std::uint64_t promptsAnswered = 0;
    std::uint64_t orders = 0;
    std::uint64_t ordersCompleted = 0;
    std::uint64_t issuedKeys = 0;
    std::uint64_t issuedOrdersCompleted = 0;
};

// The faults of a seed: every kind alone, then pairs, in turn.
std::vector<fault_kind> faultsOfSeed(std::uint64_t seed);

// Runs one schedule: a small fleet with callers and operators in virtual time, the seed's faults, and a quiet end.
schedule_result runSchedule(std::uint64_t seed);
schedule_result runSchedule(std::uint64_t seed, const std::vector<fault_kind>& faults);

} // namespace appleramp::tests
