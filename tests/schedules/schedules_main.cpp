#include "schedules/schedule_runner.h"

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <iostream>
#include <mutex>
#include <thread>

DEFINE_uint64(seed, 1, "first seed");
DEFINE_uint64(count, 1000, "number of schedules to run, one per seed");
DEFINE_uint32(threads, 4, "number of schedules to run in parallel");

namespace {

using namespace appleramp::tests;

// Combined results of all schedules.
struct schedule_totals {
    std::mutex mutex;
    std::map<std::string, std::uint64_t> broken { { "doubled", 0 }, { "false_not_run", 0 }, { "lost_or_reverted", 0 },
        { "stale_orders", 0 }, { "foreign_or_partial_answers", 0 }, { "overloaded", 0 }, { "late_zone_work", 0 },
        { "late_final_answer", 0 }, { "lost_order", 0 }, { "granted_too_much", 0 },
        { "convicted_ran", 0 }, { "crashed_too_often", 0 } };
    std::map<std::uint64_t, std::string> firstSeeds;
    std::uint64_t prompts = 0;
    std::uint64_t promptsAnswered = 0;
    std::uint64_t orders = 0;
    std::uint64_t ordersCompleted = 0;
    std::uint64_t issuedKeys = 0;
    std::uint64_t issuedOrdersCompleted = 0;
};

std::string namesOf(const std::vector<fault_kind>& faults)
{
    std::string names;
    for (const auto fault : faults)
        names += (names.empty() ? "" : "+") + std::string(nameOf(fault));
    return names;
}

void add(schedule_totals& all, std::uint64_t seed, const schedule_result& result)
{
    const std::lock_guard lock(all.mutex);
    for (const auto& [invariant, count] : result.broken.counts())
        all.broken[invariant] += count;
    if (!result.broken.none())
        all.firstSeeds[seed] = namesOf(result.faults) + ": " + result.broken.first();
    all.prompts += result.prompts;
    all.promptsAnswered += result.promptsAnswered;
    all.orders += result.orders;
    all.ordersCompleted += result.ordersCompleted;
    all.issuedKeys += result.issuedKeys;
    all.issuedOrdersCompleted += result.issuedOrdersCompleted;
}

void runAll(schedule_totals& all)
{
    std::atomic<std::uint64_t> next = 0;
    std::vector<std::thread> threads;
    for (std::uint32_t count = 0; count < FLAGS_threads; ++count) {
        threads.emplace_back([&all, &next] {
            for (auto index = next++; index < FLAGS_count; index = next++)
                add(all, FLAGS_seed + index, runSchedule(FLAGS_seed + index));
        });
    }
    for (auto& thread : threads)
        thread.join();
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("runs seeded fault schedules and counts broken invariants");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    schedule_totals all;
    runAll(all);
    constexpr std::size_t shownSeeds = 20;
    std::size_t shown = 0;
    for (const auto& [seed, seen] : all.firstSeeds) {
        if (++shown <= shownSeeds)
            std::cout << "seed " << seed << " (" << seen << ")\n";
    }
    nlohmann::json summary(all.broken);
    summary["schedules"] = FLAGS_count;
    summary["broken_schedules"] = all.firstSeeds.size();
    summary["prompts"] = all.prompts;
    summary["prompts_answered"] = all.promptsAnswered;
    summary["orders"] = all.orders;
    summary["orders_completed"] = all.ordersCompleted;
    summary["issued_keys"] = all.issuedKeys;
    summary["issued_orders_completed"] = all.issuedOrdersCompleted;
    std::cout << summary.dump() << std::endl;
    return all.firstSeeds.empty() ? 0 : 1;
}
