#include "decisions/workload/zone_spill.h"

#include <criterion/criterion.h>

using namespace appleramp;
using namespace std::chrono_literals;

namespace {

const availability_zone_id own("a");
const availability_zone_id near("b");
const availability_zone_id far("c");

double shareOf(const zone_spill& spill, const availability_zone_id& zone)
{
    const auto found = spill.shares().find(zone);
    return found == spill.shares().end() ? 0 : found->second;
}

} // namespace

// Guards against requests that cross zones though their own zone serves them in time, and against zones that are as full.
Test(zone_spill, requests_stay_while_the_zone_is_in_time_or_no_other_is_better)
{
    zone_spill spill;
    cr_assert_not(spill.update(instant(1s), own, { { own, { 0.7, 12 } }, { near, { 0.1, 4 } } }));
    cr_assert_not(spill.update(instant(2s), own, { { own, { 1.5, 12 } }, { near, { 1.45, 4 } } }));
    cr_assert_not(spill.otherZone(0).has_value());
}

// Guards against one zone that gets everything: the better one and the larger one get more.
Test(zone_spill, shares_grow_with_the_pressure_and_follow_the_other_zones)
{
    zone_spill spill;
    cr_assert(spill.update(instant(1s), own, { { own, { 0.9, 12 } }, { near, { 0.5, 8 } }, { far, { 0.5, 4 } } }));
    const double first = shareOf(spill, near);
    cr_assert_float_eq(first, 2 * shareOf(spill, far), 1e-9);
    cr_assert_not(spill.update(instant(1400ms), own, { { own, { 2, 12 } }, { near, { 0.5, 8 } } }));
    cr_assert(spill.update(instant(1600ms), own, { { own, { 2, 12 } }, { near, { 0.5, 8 } }, { far, { 0.5, 4 } } }));
    cr_assert_gt(shareOf(spill, near), first);
    cr_assert_leq(shareOf(spill, near) + shareOf(spill, far), 0.9 + 1e-9);
    cr_assert(spill.otherZone(0.0) == near);
    cr_assert_not(spill.otherZone(0.99).has_value());
}

// Guards against shares that stay after the load has gone, and against a fall at once, which would bring the load back.
Test(zone_spill, shares_fall_in_steps_and_end)
{
    zone_spill spill;
    spill.update(instant(1s), own, { { own, { 2, 12 } }, { near, { 0.5, 8 } } });
    spill.update(instant(2s), own, { { own, { 0.5, 12 } }, { near, { 0.5, 8 } } });
    cr_assert(shareOf(spill, near) > 0.4 && shareOf(spill, near) < 0.6);
    for (int second = 3; second < 9; ++second)
        spill.update(instant(std::chrono::seconds(second)), own, { { own, { 0.5, 12 } }, { near, { 0.5, 8 } } });
    cr_assert(spill.shares().empty());
}

// Guards against an entry whose zone has no endpoints.
Test(zone_spill, without_endpoints_in_the_zone_the_others_take_all)
{
    zone_spill spill;
    cr_assert(spill.update(instant(1s), own, { { near, { 0.5, 6 } }, { far, { 3, 2 } } }));
    cr_assert_float_eq(shareOf(spill, near), 0.75, 1e-9);
    cr_assert_float_eq(shareOf(spill, far), 0.25, 1e-9);
}
