#include "decisions/maps/schedules/map_schedule.h"

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <iostream>
#include <thread>
#include <vector>

DEFINE_uint64(seed, 1, "seed of the first schedule; each further one adds 1");
DEFINE_uint64(count, 10000, "number of schedules to run");
DEFINE_uint32(threads, 3, "schedules that run at the same time");
DEFINE_bool(journal, false, "print the journal of each schedule");

namespace appleramp::testing {
namespace {

struct schedule_totals {
    std::uint64_t mixedSteps = 0;
    std::uint64_t staleOrders = 0;
    std::uint64_t permanentHolds = 0;
    std::uint64_t changes = 0;
    std::uint64_t endings = 0;
    std::uint64_t steps = 0;
    std::int64_t standstillMs = 0;
};

std::vector<schedule_result> runAll()
{
    std::vector<schedule_result> results(FLAGS_count);
    std::atomic<std::uint64_t> next { 0 };
    const auto work = [&] {
        for (auto i = next++; i < results.size(); i = next++)
            results[i] = playSchedule(FLAGS_seed + i, true, FLAGS_journal);
    };
    std::vector<std::jthread> threads;
    for (std::uint32_t i = 0; i < std::max(1U, FLAGS_threads); ++i)
        threads.emplace_back(work);
    threads.clear();
    return results;
}

void printFirstViolation(const std::vector<schedule_result>& results)
{
    const auto firstViolation
        = std::ranges::find_if(results, [](const auto& result) { return result.violatesInvariant(); });
    if (firstViolation == results.end())
        return;
    std::cout << "seed " << FLAGS_seed + std::uint64_t(firstViolation - results.begin()) << " violates:"
              << (firstViolation->mixedSteps ? " one map in every step" : "")
              << (firstViolation->staleOrders ? " no order under an old fencing number" : "")
              << (firstViolation->permanentHolds ? " no group held for good" : "") << "\n"
              << firstViolation->plan << std::endl;
}

bool report(const std::vector<schedule_result>& results)
{
    schedule_totals totals;
    for (const auto& result : results) {
        totals.mixedSteps += result.mixedSteps;
        totals.staleOrders += result.staleOrders;
        totals.permanentHolds += result.permanentHolds;
        totals.changes += result.changes;
        totals.endings += result.endings;
        totals.steps += result.steps;
        totals.standstillMs = std::max(totals.standstillMs, result.standstillMs);
        std::cout << result.journal;
    }
    printFirstViolation(results);
    const nlohmann::json object { { "seed", FLAGS_seed }, { "schedules", results.size() },
        { "mixed_steps", totals.mixedSteps }, { "stale_orders", totals.staleOrders },
        { "held_for_good", totals.permanentHolds }, { "changes", totals.changes }, { "endings", totals.endings },
        { "steps", totals.steps }, { "longest_standstill_ms", totals.standstillMs } };
    std::cout << object.dump() << std::endl;
    return totals.mixedSteps + totals.staleOrders + totals.permanentHolds == 0;
}

} // namespace
} // namespace appleramp::testing

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("runs seeded schedules of expert map coordination; the last line is one JSON object");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return appleramp::testing::report(appleramp::testing::runAll()) ? 0 : 1;
}
