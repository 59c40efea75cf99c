#include "decisions/sharing/room_burst.h"
#include "decisions/sharing/sharing_kinds.h"

#include <criterion/criterion.h>

using namespace appleramp;
using namespace appleramp::tests;
using namespace std::chrono_literals;

// Guards against an order that breaks where bursts of two ranks coincide.
Test(room_burst, of_ranks_0_and_2_is_ordered)
{
    const auto got = playBurst({ .kinds = ledgerKinds() }, 6s, [](sharing_world& world, bool begins) {
        world.setRate(2, begins ? 100 : 20);
        world.setRate(0, begins ? 112 : 45);
    });
    cr_expect_geq(got.ofPossible, 0.75, "all earned %.3f", got.ofPossible);
    // No less urgent request starts before one that has waited longer than this.
    cr_expect_leq(got.overtaken, duration(300ms));
    cr_expect_eq(got.falseNotRun, 0U);
    // A rank is served less often than a less urgent one by at most 5 percentage points.
    cr_expect_geq(got.served[0], got.served[1] - 0.05);
    cr_expect_geq(got.served[1], got.served[2] - 0.05, "served %.3f and %.3f", got.served[1], got.served[2]);
}

// Guards against ranks that are starved by more urgent ones: none is served less than a quarter as often as all together.
Test(room_burst, leaves_each_rank_its_floor)
{
    const auto got = playBurst({ .kinds = ledgerKinds() }, 6s, [](sharing_world& world, bool begins) {
        world.setRate(0, begins ? 220 : 45);
        world.setRate(2, begins ? 60 : 20);
    });
    const double all = (220 * got.served[0] + 60 * got.served[1] + 60 * got.served[2]) / 340;
    cr_expect_geq(got.served[1], all / 4, "rank 1 %.3f of all %.3f", got.served[1], all);
    cr_expect_geq(got.served[2], all / 4, "rank 2 %.3f of all %.3f", got.served[2], all);
}

// Guards against requests that are refused or delayed although the slots are not near their limit.
Test(room_burst, is_not_needed_far_from_the_limit)
{
    auto kinds = ledgerKinds();
    for (caller_kind& kind : kinds)
        kind.perSecond *= 0.6;
    const auto got = playBurst({ .kinds = kinds }, 6s, [](sharing_world&, bool) {});
    for (const double served : got.served)
        cr_expect_eq(served, 1.0);
    cr_expect_eq(got.overtaken, duration::zero());
}

// Guards against an order that depends on fresh load reports: two seconds old, they show the load before the burst.
Test(room_burst, is_ordered_though_load_reports_are_two_seconds_old)
{
    const auto got = playBurst({ .reportDelay = 2s, .kinds = ledgerKinds() }, 6s, [](sharing_world& world, bool begins) { world.setRate(2, begins ? 100 : 20); });
    cr_expect_geq(got.onTime[0], got.onTime[2], "rank 0 on time %.3f, rank 2 %.3f", got.onTime[0], got.onTime[2]);
    cr_expect_geq(got.served[0], 0.95, "rank 0 served %.3f", got.served[0]);
}

// Guards against shares that only hold where callers spread evenly: one entry gets all of them, and the others report no demand.
Test(room_burst, at_one_entry_is_ordered)
{
    const auto got = playBurst({ .usesOneEntry = true, .kinds = ledgerKinds() }, 6s, [](sharing_world& world, bool begins) { world.setRate(2, begins ? 100 : 20); });
    cr_expect_geq(got.onTime[0], 0.95, "rank 0 on time %.3f", got.onTime[0]);
    cr_expect_geq(got.ofPossible, 0.75, "all earned %.3f", got.ofPossible);
}
