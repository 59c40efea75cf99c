#include "group_schedule.h"

#include <algorithm>
#include <cstdlib>
#include <iostream>

// Runs COUNT schedules with consecutive seeds from SEED and prints violations and totals:
// measure_group_schedules SEED COUNT
int main(int argc, char** argv)
{
    if (argc != 3) {
        std::cerr << "usage: measure_group_schedules SEED COUNT\n";
        return 2;
    }
    const auto first = std::strtoull(argv[1], nullptr, 10);
    const auto count = std::strtoull(argv[2], nullptr, 10);
    appleramp::group_schedule_result sum;
    std::uint64_t broken = 0;
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        const auto result = appleramp::runGroupSchedule(seed, appleramp::drawGroupFaults(seed));
        sum.mixedPasses += result.mixedPasses;
        sum.mapChanges += result.mapChanges;
        sum.longestHeldMs = std::max(sum.longestHeldMs, result.longestHeldMs);
        sum.heldAfterFaultsMs = std::max(sum.heldAfterFaultsMs, result.heldAfterFaultsMs);
        if (result.mixedPasses > 0 || result.heldAfterFaultsMs > 1000) {
            ++broken;
            std::cout << "seed " << seed << ": mixed passes " << result.mixedPasses << ", held after the faults "
                      << result.heldAfterFaultsMs << " ms\n";
        }
    }
    std::cout << count << " schedules, " << broken << " broken; mixed passes " << sum.mixedPasses << ", map changes " << sum.mapChanges
              << ", longest held " << sum.longestHeldMs << " ms, after the faults " << sum.heldAfterFaultsMs << " ms\n";
    return broken == 0 ? 0 : 1;
}
