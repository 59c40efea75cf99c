#include "zone_run.h"

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <iostream>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

DEFINE_uint64(seed, 1, "Seed of the load");
DEFINE_uint32(jobs, 4, "Runs at the same time");
DEFINE_string(customer, "", "Only this customer: association or haverkamp");
DEFINE_uint32(scale, 0, "Only this size: 1 or 5");
DEFINE_string(policy, "", "Only this policy");

using namespace appleramp::zones;

namespace {

struct measured_run {
    std::string policyName;
    policy rule = policy::Appleramp;
    std::string size;
    std::string load;
    scenario played;
    nlohmann::json figures;
};

fleet_shape association()
{
    return { "association", 8, 16, 10, std::chrono::microseconds(1500), std::chrono::milliseconds(3) };
}

fleet_shape haverkamp()
{
    return { "haverkamp", 7, 16, 10, std::chrono::microseconds(500), std::chrono::milliseconds(1) };
}

std::vector<measured_run> plan()
{
    const std::vector<std::pair<std::string, policy>> policies { { "appleramp", policy::Appleramp },
        { "round_robin", policy::RoundRobin }, { "least_outstanding", policy::LeastOutstanding }, { "one_queue", policy::OneQueue } };
    std::vector<measured_run> runs;
    // The largest first, so that none is left to run last alone.
    for (const std::size_t scale : { 5, 1 }) {
        for (auto fleet : { association(), haverkamp() }) {
            if ((FLAGS_scale != 0 && FLAGS_scale != scale)
                || (!FLAGS_customer.empty() && FLAGS_customer != fleet.customer))
                continue;
            const auto size = fleet.customer + "_x" + std::to_string(scale);
            fleet.entries *= scale;
            fleet.engines *= scale;
            fleet.teams *= scale;
            for (const auto& [name, rule] : policies) {
                if (!FLAGS_policy.empty() && FLAGS_policy != name)
                    continue;
                for (const int load : { 90, 60 })
                    runs.push_back({ name, rule, size, "load_" + std::to_string(load),
                        { fleet, {}, load / 100.0, FLAGS_seed }, {} });
            }
        }
    }
    return runs;
}

void runAll(std::vector<measured_run>& runs)
{
    std::atomic<std::size_t> next = 0;
    std::mutex output;
    std::vector<std::thread> workers;
    for (std::uint32_t worker = 0; worker < FLAGS_jobs; ++worker) {
        workers.emplace_back([&] {
            for (auto index = next++; index < runs.size(); index = next++) {
                auto& run = runs[index];
                run.figures = figuresOf(run.played, runScenario(run.played, run.rule));
                const std::lock_guard lock(output);
                std::cout << run.size << ' ' << run.policyName << ' ' << run.load << ' ' << run.figures << std::endl;
            }
        });
    }
    for (auto& worker : workers)
        worker.join();
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("measures service while an availability zone leaves and returns");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    auto runs = plan();
    runAll(runs);
    nlohmann::json result;
    for (const auto& run : runs)
        result[run.policyName][run.size][run.load] = run.figures;
    result["seed"] = FLAGS_seed;
    std::cout << result << std::endl;
    return 0;
}
