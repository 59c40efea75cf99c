#include "decisions/platform/outage_backoff.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <vector>

using namespace appleramp;
using namespace std::chrono_literals;

namespace {

constexpr instant start { 1h };

} // namespace

Test(outage_backoff, admits_everything_without_an_outage)
{
    outage_backoff backoff(1);
    cr_assert(backoff.admits(start) && backoff.admits(start));
    cr_assert(!backoff.inOutage());
}

Test(outage_backoff, admits_one_trial_after_a_delay)
{
    outage_backoff backoff(1);
    backoff.failed(start);
    cr_assert(!backoff.admits(start));
    const auto probe = *backoff.nextProbeAt();
    cr_assert(probe >= start + 50ms && probe <= start + 100ms);
    cr_assert(!backoff.admits(probe - 1us));
    cr_assert(backoff.admits(probe));
    cr_assert(!backoff.admits(probe));
    backoff.succeeded();
    cr_assert(backoff.admits(probe) && backoff.admits(probe));
}

Test(outage_backoff, trial_without_an_outcome_does_not_block_for_ever)
{
    outage_backoff backoff(1);
    backoff.failed(start);
    cr_assert(backoff.admits(start + 1s));
    cr_assert(!backoff.admits(start + 5s));
    cr_assert(backoff.admits(start + 6s));
}

Test(outage_backoff, delays_grow_up_to_the_limit_and_start_anew)
{
    outage_backoff backoff(7);
    auto now = start;
    duration previous {};
    for (int probe = 0; probe < 20; ++probe) {
        backoff.failed(now);
        const auto delay = *backoff.nextProbeAt() - now;
        cr_assert(delay <= 5s);
        cr_assert(delay >= std::min<duration>(previous / 2, 2500ms));
        previous = delay;
        now = *backoff.nextProbeAt();
    }
    cr_assert(previous >= 2500ms);
    backoff.succeeded();
    backoff.failed(now);
    cr_assert(*backoff.nextProbeAt() - now <= 100ms);
}

Test(outage_backoff, a_few_lost_replies_in_a_row_are_an_outage)
{
    outage_backoff backoff(1);
    backoff.lostReply(start);
    backoff.lostReply(start);
    backoff.succeeded();
    backoff.lostReply(start);
    backoff.lostReply(start);
    cr_assert(!backoff.inOutage());
    backoff.lostReply(start);
    cr_assert(backoff.inOutage());
}

Test(outage_backoff, same_seed_gives_the_same_trials)
{
    outage_backoff first(5);
    outage_backoff second(5);
    outage_backoff other(6);
    first.failed(start);
    second.failed(start);
    other.failed(start);
    cr_assert(first.nextProbeAt() == second.nextProbeAt());
    cr_assert(first.nextProbeAt() != other.nextProbeAt());
}

// Guards against a thundering herd: 500 processes lose the platform at the same moment for ten minutes, and the probes in
// each 100 ms are counted.
Test(outage_backoff, return_of_the_platform_causes_no_stampede)
{
    constexpr auto processes = 500;
    constexpr auto outage = 10min;
    constexpr auto slice = 100ms;
    std::map<std::int64_t, int> probesBySlice;
    std::vector<duration> returns;
    for (std::uint64_t seed = 1; seed <= processes; ++seed) {
        outage_backoff backoff(seed);
        auto now = start;
        while (now < start + outage) {
            backoff.failed(now);
            now = *backoff.nextProbeAt();
            cr_assert(backoff.admits(now));
            if (now >= start + 1min)
                ++probesBySlice[(now - start) / slice];
        }
        returns.push_back(now - (start + outage));
    }
    // Evenly spread, there would be about 13 probes in each slice.
    for (const auto& [number, probes] : probesBySlice)
        cr_assert_leq(probes, 40, "%d probes in slice %ld", probes, static_cast<long>(number));
    cr_assert(*std::max_element(returns.begin(), returns.end()) <= 5s);
}
