#include "decisions/forwarding/stream_pace.h"

#include <criterion/criterion.h>

using namespace appleramp;
using namespace std::chrono_literals;

Test(stream_pace, nothing_is_known_before_the_first_event)
{
    const stream_pace pace;
    cr_assert(!pace.isStalled(instant(100s), 50));
    cr_assert_float_eq(pace.utilizationLimit(150ms), 1.0, 1e-9);
}

Test(stream_pace, the_bearable_fill_shrinks_with_longer_pauses_down_to_a_floor)
{
    stream_pace pace;
    for (int event = 0; event < 200; ++event)
        pace.recordEvent(instant(1s + event * 180ms), 180ms);
    cr_assert_float_eq(pace.utilizationLimit(150ms), 0.75, 0.02);
    for (int event = 0; event < 200; ++event)
        pace.recordEvent(instant(60s + event * 900ms), 900ms);
    cr_assert_float_eq(pace.utilizationLimit(150ms), stream_pace::minUtilizationLimit, 1e-9);
}

Test(stream_pace, a_service_stands_still_only_if_some_streams_wait)
{
    stream_pace pace;
    pace.recordEvent(instant(1s), {});
    cr_assert(!pace.isStalled(instant(1500ms), 10));
    cr_assert(pace.isStalled(instant(1800ms), 10));
    cr_assert(!pace.isStalled(instant(1800ms), 2));
    cr_assert(!pace.isStalled(instant(2800ms), 10));
}
