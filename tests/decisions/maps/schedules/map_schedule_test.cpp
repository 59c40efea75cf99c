#include "decisions/maps/schedules/map_schedule.h"

#include <criterion/criterion.h>

using namespace appleramp::testing;

Test(map_schedule, without_faults_changes_come_through_and_holds_are_short)
{
    const auto result = playSchedule(1, false);
    cr_assert_not(result.violatesInvariant());
    cr_assert_geq(result.changes, 5);
    // Three round trips of at most 5 ms each, an install of at most 50 ms, and processing time of engine and agent.
    cr_assert_leq(result.longestHoldMs, 70);
    cr_assert_eq(result.endings, 0);
}

Test(map_schedule, the_same_seed_gives_the_same_run)
{
    cr_assert_eq(playSchedule(17, true, true).journal, playSchedule(17, true, true).journal);
}

Test(map_schedule, no_seeded_schedule_breaks_an_invariant)
{
    std::uint64_t changes = 0;
    std::uint64_t endings = 0;
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        const auto result = playSchedule(seed);
        cr_expect_eq(result.mixedSteps, 0, "seed %lu: mixed steps; %s", seed, result.plan.c_str());
        cr_expect_eq(result.staleOrders, 0, "seed %lu: stale orders; %s", seed, result.plan.c_str());
        cr_expect_eq(result.permanentHolds, 0, "seed %lu: group permanently held; %s", seed, result.plan.c_str());
        changes += result.changes;
        endings += result.endings;
    }
    cr_assert_gt(changes, 1000);
    cr_assert_gt(endings, 50);
}
