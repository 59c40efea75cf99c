#include "decisions/forwarding/recent_maximum.h"

#include <criterion/criterion.h>

using namespace appleramp;
using namespace std::chrono_literals;

Test(recent_maximum, is_kept_for_a_window_and_forgotten_after_two)
{
    recent_maximum maximum(5s);
    cr_assert(maximum.value(instant(1s)) == duration::zero());
    maximum.record(instant(10s), 4s);
    maximum.record(instant(11s), 1s);
    cr_assert(maximum.value(instant(14s)) == duration(4s));
    maximum.record(instant(16s), 2s);
    cr_assert(maximum.value(instant(16s)) == duration(4s));
    cr_assert(maximum.value(instant(21s)) == duration(2s));
    cr_assert(maximum.value(instant(40s)) == duration::zero());
}

// Guards against values that are kept for a third window, because a window begins with the value that comes after it.
Test(recent_maximum, is_forgotten_after_two_windows_where_values_are_rare)
{
    recent_maximum maximum(5s);
    maximum.record(instant(10s), 4s);
    maximum.record(instant(19s), 1s);
    cr_assert(maximum.value(instant(21s)) == duration(1s));
}
