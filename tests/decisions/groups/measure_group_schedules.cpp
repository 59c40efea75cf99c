#include "group_schedule.h"

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <string_view>

// Runs COUNT schedules with consecutive seeds from SEED and prints violations and totals:
// measure_group_schedules SEED COUNT [PART [freeze|kill]]
// PART: part of the ranks whose agents know switches with a single hold. With freeze or kill, the agent that gives a hold is hit
// instead of the drawn faults.
int main(int argc, char** argv)
{
    if (argc < 3 || argc > 5) {
        std::cerr << "usage: measure_group_schedules SEED COUNT [PART [freeze|kill]]\n";
        return 2;
    }
    const auto first = std::strtoull(argv[1], nullptr, 10);
    const auto count = std::strtoull(argv[2], nullptr, 10);
    appleramp::group_schedule_result sum;
    std::uint64_t broken = 0;
    std::int64_t heldSum = 0;
    const std::string_view giverFault = argc == 5 ? argv[4] : "";
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        auto faults = appleramp::drawGroupFaults(seed);
        if (!giverFault.empty())
            faults = { .frozenEnginesAreUnreachable = true, .freezeAtHold = giverFault == "freeze", .killAtHold = giverFault == "kill" };
        faults.singleHold = argc > 3 ? std::strtod(argv[3], nullptr) : 0;
        const auto result = appleramp::runGroupSchedule(seed, faults);
        heldSum += result.longestHeldMs;
        sum.orders += result.orders;
        sum.foreignOrders += result.foreignOrders;
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
              << ", longest held " << sum.longestHeldMs << " ms, after the faults " << sum.heldAfterFaultsMs << " ms, mean of the longest "
              << (count > 0 ? heldSum / static_cast<std::int64_t>(count) : 0) << " ms, orders " << sum.orders << ", to other ranks " << sum.foreignOrders << '\n';
    return broken == 0 ? 0 : 1;
}
