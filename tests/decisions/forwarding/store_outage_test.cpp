#include "decisions/forwarding/store_outage.h"

#include <criterion/criterion.h>

using namespace appleramp;
using namespace std::chrono_literals;

// Callers that are told the same time return together, and those told a long one late.
Test(store_outage, callers_are_spread_over_as_long_as_it_lasted)
{
    store_outage outage;
    cr_assert(!outage.retryAfter(instant(10s), 9s, 0.5));
    outage.onLost(instant(10s));
    outage.onLost(instant(12s));
    cr_assert(outage.retryAfter(instant(10s), 30s, 1.0) == store_outage::minRetryAfter + store_outage::minSpread);
    cr_assert(outage.retryAfter(instant(14s), 30s, 1.0) == store_outage::minRetryAfter + 4s);
    cr_assert(outage.retryAfter(instant(14s), 30s, 0.0) == store_outage::minRetryAfter);
    cr_assert(outage.retryAfter(instant(100s), 90s, 1.0) == store_outage::minRetryAfter + store_outage::maxSpread);
    // A caller waits at most a third of its time.
    cr_assert(outage.retryAfter(instant(100s), 9s, 1.0) == 3s);
    cr_assert(outage.retryAfter(instant(100s), 600ms, 1.0) == 200ms);
    outage.onRegained();
    cr_assert(!outage.retryAfter(instant(101s), 9s, 0.5));
}
