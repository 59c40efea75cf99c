#include "decisions/crashes/death_detector.h"

#include <criterion/criterion.h>

using namespace appleramp;
using namespace std::chrono_literals;

namespace {

const endpoint_id first("i-1");
const endpoint_id second("i-2");

broken_attempt brokenAt(const endpoint_id& endpoint, instant when) { return { { { suspect_kind::Request, 7 } }, endpoint, "s", when - 100ms, when, when + 6s }; }

} // namespace

// Guards against a cut link or a reset connection that counts as a crash.
Test(death_detector, a_break_alone_is_no_death)
{
    death_detector detector;
    cr_assert_not(detector.recordBrokenAttempt(brokenAt(first, instant(10s))));
    cr_assert(detector.recordDeath(instant(11s), second).empty());
    cr_assert_not(detector.hasDied(first));
}

Test(death_detector, a_death_explains_the_attempts_that_broke_shortly_before)
{
    death_detector detector;
    detector.recordBrokenAttempt(brokenAt(first, instant(10s)));
    detector.recordBrokenAttempt(brokenAt(second, instant(10s)));
    cr_assert_eq(detector.recordDeath(instant(14s), first).size(), 1);
    cr_assert(detector.recordDeath(instant(17s), second).empty());
}

Test(death_detector, an_attempt_that_breaks_after_its_endpoint_died_is_explained_at_once)
{
    death_detector detector;
    detector.recordDeath(instant(10s), first);
    cr_assert(detector.recordBrokenAttempt(brokenAt(first, instant(11s))));
    detector.removeExpired(instant(21s));
    cr_assert_not(detector.recordBrokenAttempt(brokenAt(first, instant(21s))));
}

// Guards against an engine that starts again under its id and whose next broken connection counts as its death.
Test(death_detector, an_endpoint_that_was_started_again_is_alive)
{
    death_detector detector;
    detector.recordDeath(instant(10s), first);
    detector.forget(first);
    cr_assert_not(detector.recordBrokenAttempt(brokenAt(first, instant(12s))));
}

Test(death_detector, an_endpoint_is_probed_once_within_the_interval)
{
    death_detector detector;
    cr_assert(detector.startProbe(instant(10s), first));
    cr_assert_not(detector.startProbe(instant(10500ms), first));
    cr_assert(detector.startProbe(instant(11s), first));
}
