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
    const auto trial = *backoff.nextTrial();
    cr_assert(trial >= start + 50ms && trial <= start + 100ms);
    cr_assert(!backoff.admits(trial - 1us));
    cr_assert(backoff.admits(trial));
    cr_assert(!backoff.admits(trial));
    backoff.succeeded();
    cr_assert(backoff.admits(trial) && backoff.admits(trial));
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
    for (int trial = 0; trial < 20; ++trial) {
        backoff.failed(now);
        const auto delay = *backoff.nextTrial() - now;
        cr_assert(delay <= 5s);
        cr_assert(delay >= std::min<duration>(previous / 2, 2500ms));
        previous = delay;
        now = *backoff.nextTrial();
    }
    cr_assert(previous >= 2500ms);
    backoff.succeeded();
    backoff.failed(now);
    cr_assert(*backoff.nextTrial() - now <= 100ms);
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
    cr_assert(first.nextTrial() == second.nextTrial());
    cr_assert(first.nextTrial() != other.nextTrial());
}

// A fleet loses the platform in the same moment for ten minutes. Counts the trials in each tenth of a second.
Test(outage_backoff, return_of_the_platform_causes_no_stampede)
{
    constexpr auto processes = 500;
    constexpr auto outage = 10min;
    constexpr auto slice = 100ms;
    std::map<std::int64_t, int> trialsBySlice;
    std::vector<duration> returns;
    for (std::uint64_t seed = 1; seed <= processes; ++seed) {
        outage_backoff backoff(seed);
        auto now = start;
        while (now < start + outage) {
            backoff.failed(now);
            now = *backoff.nextTrial();
            cr_assert(backoff.admits(now));
            if (now >= start + 1min)
                ++trialsBySlice[(now - start) / slice];
        }
        returns.push_back(now - (start + outage));
    }
    // An even spread would be about 13 trials a slice.
    for (const auto& [number, trials] : trialsBySlice)
        cr_assert_leq(trials, 40, "%d trials in slice %ld", trials, static_cast<long>(number));
    cr_assert(*std::max_element(returns.begin(), returns.end()) <= 5s);
}
