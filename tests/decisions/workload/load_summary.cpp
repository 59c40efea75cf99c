#include "decisions/workload/load_summary.h"

#include <criterion/criterion.h>
#include <criterion/logging.h>

using namespace std::chrono_literals;

namespace appleramp::tests {

// The largest tenth of the prompts is judged separately.
load_summary summarize(const work_world& world, duration from, duration until, std::optional<std::size_t> entry)
{
    std::vector<duration> sizes;
    std::vector<duration> smallFirstEvents;
    std::vector<const request_outcome*> chosen;
    for (const auto& [number, outcome] : world.outcomes()) {
        if (outcome.arrivedAt < instant(from) || outcome.arrivedAt >= instant(until) || (entry && outcome.entry != *entry))
            continue;
        chosen.push_back(&outcome);
        sizes.emplace_back(outcome.promptTokens);
    }
    const auto large = static_cast<std::uint32_t>(quantile(sizes, 0.9).count());
    load_summary result;
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

void print(const char* name, const work_world& world, const load_summary& seen)
{
    cr_log_info("%s: served %.3f, largest tenth %.3f, on time %.3f, refused %.3f, p99 of small %ld ms, elsewhere %.3f, needless refusal %ld ms", name, seen.served, seen.largeServed, seen.onTime,
        seen.refused, seen.smallP99.count() / 1000, world.fractionElsewhere(10s, 60s), world.longestNeedlessRefusal().count() / 1000);
}

} // namespace appleramp::tests
