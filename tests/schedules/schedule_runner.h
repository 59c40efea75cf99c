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

// Faults of a seed. Consecutive seeds go through every single kind, then through all pairs.
std::vector<fault_kind> faultsOfSeed(std::uint64_t seed);

// Runs one schedule in virtual time: a small fleet with callers and operators under the seed's faults, followed by a
// period without faults.
schedule_result runSchedule(std::uint64_t seed);
schedule_result runSchedule(std::uint64_t seed, const std::vector<fault_kind>& faults);

} // namespace appleramp::tests
