#include "decisions/platform/circuit_breaker.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <vector>

using namespace appleramp;
using namespace std::chrono_literals;

namespace {

constexpr instant start { 1h };

} // namespace

Test(circuit_breaker, admits_everything_without_an_outage)
{
    circuit_breaker breaker(1);
    cr_assert(breaker.allowsCall(start) && breaker.allowsCall(start));
    cr_assert(!breaker.inOutage());
}

Test(circuit_breaker, admits_one_trial_after_a_delay)
{
    circuit_breaker breaker(1);
    breaker.failed(start);
    cr_assert(!breaker.allowsCall(start));
    const auto probe = *breaker.nextProbeAt();
    cr_assert(probe >= start + 50ms && probe <= start + 100ms);
    cr_assert(!breaker.allowsCall(probe - 1us));
    cr_assert(breaker.allowsCall(probe));
    cr_assert(!breaker.allowsCall(probe));
    breaker.succeeded();
    cr_assert(breaker.allowsCall(probe) && breaker.allowsCall(probe));
}

Test(circuit_breaker, trial_without_an_outcome_does_not_block_for_ever)
{
    circuit_breaker breaker(1);
    breaker.failed(start);
    cr_assert(breaker.allowsCall(start + 1s));
    cr_assert(!breaker.allowsCall(start + 5s));
    cr_assert(breaker.allowsCall(start + 6s));
}

Test(circuit_breaker, delays_grow_up_to_the_limit_and_start_anew)
{
    circuit_breaker breaker(7);
    auto now = start;
    duration previous {};
    for (int probe = 0; probe < 20; ++probe) {
        breaker.failed(now);
        const auto delay = *breaker.nextProbeAt() - now;
        cr_assert(delay <= 5s);
        cr_assert(delay >= std::min<duration>(previous / 2, 2500ms));
        previous = delay;
        now = *breaker.nextProbeAt();
    }
    cr_assert(previous >= 2500ms);
    breaker.succeeded();
    breaker.failed(now);
    cr_assert(*breaker.nextProbeAt() - now <= 100ms);
}

Test(circuit_breaker, a_few_lost_replies_in_a_row_are_an_outage)
{
    circuit_breaker breaker(1);
    breaker.replyLost(start);
    breaker.replyLost(start);
    breaker.succeeded();
    breaker.replyLost(start);
    breaker.replyLost(start);
    cr_assert(!breaker.inOutage());
    breaker.replyLost(start);
    cr_assert(breaker.inOutage());
}

Test(circuit_breaker, same_seed_gives_the_same_trials)
{
    circuit_breaker first(5);
    circuit_breaker second(5);
    circuit_breaker other(6);
    first.failed(start);
    second.failed(start);
    other.failed(start);
    cr_assert(first.nextProbeAt() == second.nextProbeAt());
    cr_assert(first.nextProbeAt() != other.nextProbeAt());
}

// Guards against a thundering herd: 500 processes lose the platform at the same moment for ten minutes, and the probes in
// each 100 ms are counted.
Test(circuit_breaker, return_of_the_platform_causes_no_stampede)
{
    constexpr auto processes = 500;
    constexpr auto outage = 10min;
    constexpr auto slice = 100ms;
    std::map<std::int64_t, int> probesBySlice;
    std::vector<duration> returns;
    for (std::uint64_t seed = 1; seed <= processes; ++seed) {
        circuit_breaker breaker(seed);
        auto now = start;
        while (now < start + outage) {
            breaker.failed(now);
            now = *breaker.nextProbeAt();
            cr_assert(breaker.allowsCall(now));
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
