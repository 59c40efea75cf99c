#include "decisions/maps/schedules/map_schedule.h"
#include "maps/map_simulation.h"

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

DEFINE_uint64(seed, 1, "seed of the drifts and of the coordination schedules");
DEFINE_uint32(ranks, 0, "only groups of this many ranks; 0: 16, 64 and 128");
DEFINE_string(drift, "", "only this drift");
DEFINE_string(policy, "", "only this policy");
DEFINE_uint32(threads, 3, "simulations that run at a time");
DEFINE_uint64(schedules, 10000, "coordination schedules to play");

namespace appleramp {
namespace {

struct measured_run {
    simulation_settings settings;
    simulation_figures figures;
};

std::vector<measured_run> plannedRuns()
{
    std::vector<measured_run> runs;
    for (const std::uint16_t ranks : { 16, 64, 128 }) {
        for (const auto drift : { drift_kind::Slow, drift_kind::Monthly, drift_kind::Sudden, drift_kind::Noisy,
                 drift_kind::SlowRank }) {
            for (const auto policy :
                { policy_kind::StaticEven, policy_kind::PeriodicRebuild, policy_kind::PeriodicReplicas,
                    policy_kind::PeriodicPlanner, policy_kind::Appleramp }) {
                const bool wanted = (FLAGS_ranks == 0 || FLAGS_ranks == ranks)
                    && (FLAGS_drift.empty() || FLAGS_drift == nameOf(drift))
                    && (FLAGS_policy.empty() || FLAGS_policy == nameOf(policy));
                if (wanted)
                    runs.push_back({ { policy, drift, ranks, FLAGS_seed, {} }, {} });
            }
        }
    }
    return runs;
}

void runAll(std::vector<measured_run>& runs)
{
    std::atomic<std::size_t> next { 0 };
    const auto work = [&] {
        for (auto i = next++; i < runs.size(); i = next++)
            runs[i].figures = simulate(runs[i].settings);
    };
    std::vector<std::jthread> threads;
    for (std::uint32_t i = 0; i < std::max(1U, FLAGS_threads); ++i)
        threads.emplace_back(work);
}

const simulation_figures* staticFigures(const std::vector<measured_run>& runs, const measured_run& run)
{
    for (const auto& other : runs) {
        if (other.settings.policy == policy_kind::StaticEven && other.settings.drift == run.settings.drift
            && other.settings.ranks == run.settings.ranks)
            return &other.figures;
    }
    return nullptr;
}

// Seconds of step time saved against the static map for each gigabyte moved.
double savedPerGigabyte(const simulation_figures& figures, const simulation_figures* even)
{
    const auto gigabytes = figures.bytesPerHour * figures.hours / 1e9;
    if (!even || gigabytes <= 0)
        return 0;
    return (1 - figures.stepTime / even->stepTime) * figures.hours * 3600 / gigabytes;
}

nlohmann::json toJson(const simulation_figures& figures, const simulation_figures* even)
{
    return { { "skew_mean", figures.skewMean }, { "skew_p99", figures.skewP99 },
        { "ratio_to_bound_mean", figures.ratioToBoundMean }, { "ratio_to_bound_p99", figures.ratioToBoundP99 },
        { "step_ratio_to_bound_mean", figures.stepRatioToBoundMean }, { "bytes_per_hour", figures.bytesPerHour },
        { "held_s_per_hour", figures.heldSecondsPerHour }, { "switches_per_hour", figures.switchesPerHour },
        { "step_s_saved_per_gb", savedPerGigabyte(figures, even) }, { "map_ms", figures.mapMs },
        { "map_ms_max", figures.mapMsMax }, { "map_bytes", figures.mapBytes } };
}

void print(const measured_run& run)
{
    std::printf("%3u ranks  %-9s %-17s skew %.4f p99 %.4f  to bound %.4f p99 %.4f  %8.2f GB/h  held %.2f s/h  "
                "map %.1f ms (max %.1f)\n",
        run.settings.ranks, std::string(nameOf(run.settings.drift)).c_str(),
        std::string(nameOf(run.settings.policy)).c_str(), run.figures.skewMean, run.figures.skewP99,
        run.figures.ratioToBoundMean, run.figures.ratioToBoundP99, run.figures.bytesPerHour / 1e9,
        run.figures.heldSecondsPerHour, run.figures.mapMs, run.figures.mapMsMax);
}

// Steps in which two ranks used different maps, over all schedules.
std::uint64_t mixedSteps()
{
    std::atomic<std::uint64_t> next { 0 };
    std::atomic<std::uint64_t> mixed { 0 };
    const auto work = [&] {
        for (auto i = next++; i < FLAGS_schedules; i = next++)
            mixed += testing::playSchedule(FLAGS_seed + i).mixedSteps;
    };
    std::vector<std::jthread> threads;
    for (std::uint32_t i = 0; i < std::max(1U, FLAGS_threads); ++i)
        threads.emplace_back(work);
    threads.clear();
    return mixed;
}

void measure()
{
    auto runs = plannedRuns();
    runAll(runs);
    nlohmann::json byRanks;
    for (const auto& run : runs) {
        print(run);
        byRanks[std::to_string(run.settings.ranks)][std::string(nameOf(run.settings.policy))]
               [std::string(nameOf(run.settings.drift))]
            = toJson(run.figures, staticFigures(runs, run));
    }
    nlohmann::json report { { "seed", FLAGS_seed }, { "by_ranks", byRanks },
        { "schedules", FLAGS_schedules }, { "mixed_steps", mixedSteps() } };
    if (byRanks.contains("128"))
        report["policies"] = byRanks["128"];
    std::cout << report.dump() << std::endl;
}

} // namespace
} // namespace appleramp

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("measures expert map policies side by side; the last line is one JSON object");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    appleramp::measure();
    return 0;
}
