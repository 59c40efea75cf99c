#include "decisions/work/work_world.h"

#include <criterion/criterion.h>

using namespace appleramp;
using namespace appleramp::tests;
using namespace std::chrono_literals;

namespace {

struct summary {
    // Of prompts up to the usual size.
    duration smallP99 {};
    double served = 0;
    double largeServed = 0;
    double onTime = 0;
    double refused = 0;
};

// The largest tenth of the prompts is judged separately.
summary summarize(const work_world& world, duration from, duration until)
{
    std::vector<duration> sizes;
    std::vector<duration> smallFirstEvents;
    std::vector<const request_outcome*> chosen;
    for (const auto& [number, outcome] : world.outcomes()) {
        if (outcome.arrivedAt < instant(from) || outcome.arrivedAt >= instant(until))
            continue;
        chosen.push_back(&outcome);
        sizes.emplace_back(outcome.promptTokens);
    }
    const auto large = static_cast<std::uint32_t>(quantile(sizes, 0.9).count());
    summary result;
    double largeCount = 0;
    for (const request_outcome* const outcome : chosen) {
        const bool isLarge = outcome->promptTokens >= large;
        largeCount += isLarge ? 1 : 0;
        result.served += outcome->isServed ? 1 : 0;
        result.largeServed += isLarge && outcome->isServed ? 1 : 0;
        result.refused += outcome->isRefused ? 1 : 0;
        result.onTime += outcome->isServed && outcome->firstEvent <= work_world::latencyTarget ? 1 : 0;
        if (outcome->promptTokens <= work_world::speed().usualPromptTokens && outcome->firstEvent)
            smallFirstEvents.push_back(*outcome->firstEvent);
    }
    const auto count = static_cast<double>(chosen.size());
    for (double* const part : { &result.served, &result.onTime, &result.refused })
        *part /= count;
    result.largeServed /= largeCount;
    result.smallP99 = quantile(smallFirstEvents, 0.99);
    return result;
}

void print(const char* name, const work_world& world, const summary& seen)
{
    cr_log_warn("%s: served %.3f, largest tenth %.3f, on time %.3f, refused %.3f, p99 of small %ld ms, elsewhere %.3f, needless refusal %ld ms", name, seen.served, seen.largeServed, seen.onTime,
        seen.refused, seen.smallP99.count() / 1000, world.fractionElsewhere(10s, 60s), world.longestNeedlessRefusal().count() / 1000);
}

} // namespace

// Pattern: prompts of a heavy tail at 0.9 of what the engines can take. Guards against small requests that wait behind large ones, and
// against large ones that are not served.
Test(placement_by_work, a_heavy_tail_leaves_small_requests_on_time)
{
    work_world world({ .utilization = 0.9, .promptSpread = 1.4 });
    world.runUntil(40s);
    const summary seen = summarize(world, 15s, 30s);
    print("heavy tail", world, seen);
    cr_expect_geq(seen.largeServed, seen.served - 0.1);
    cr_expect_leq(seen.smallP99, work_world::latencyTarget);
}
