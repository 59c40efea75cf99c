#include "decisions/workload/load_summary.h"

#include <criterion/criterion.h>

using namespace appleramp;
using namespace appleramp::tests;
using namespace std::chrono_literals;

// Pattern: prompts of a heavy tail at 0.9 of what the engines can take. Guards against small requests that wait behind large ones, and
// against large ones that are not served.
Test(placement_by_work, a_heavy_tail_leaves_small_requests_on_time)
{
    work_world world({ .utilization = 0.9, .promptSpread = 1.4 });
    world.runUntil(60s);
    const load_summary seen = summarize(world, 15s, 50s);
    print("heavy tail", world, seen);
    cr_expect_geq(seen.largeServed, seen.served - 0.1);
    cr_expect_leq(seen.smallP99, work_world::latencyTarget);
}
