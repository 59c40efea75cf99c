#include "decisions/workload/load_summary.h"

#include <criterion/criterion.h>

using namespace appleramp;
using namespace appleramp::tests;
using namespace std::chrono_literals;

// Pattern: 3, 2 and 2 endpoints, and 2.2 times the demand in a zone of two for 6 s.
Test(zone_targets, a_burst_at_few_endpoints_uses_all_zones)
{
    work_world world({ .engines = { 3, 2, 2 }, .isGroup = false, .utilization = 0.6 });
    world.setDemand([](std::size_t zone, duration time) { return zone == 1 && time > 20s && time < 26s ? 2.2 : 1.0; });
    world.runUntil(40s);
    const load_summary seen = summarize(world, 20s, 27s);
    print("3-2-2", world, seen);
    cr_expect_leq(world.longestNeedlessRefusal(), 1s);
    cr_expect_geq(seen.served, 0.99);
    cr_expect_geq(world.fractionElsewhere(20s, 26s), 0.05);
}

// Pattern: an entry reaches no endpoint of its own zone for 10 s. Guards against each request trying endpoints there first.
Test(zone_targets, an_entry_that_is_cut_off_from_a_zone_uses_the_others)
{
    for (const std::size_t zone : { 0U, 1U }) {
        work_world world({ .utilization = 0.5 });
        world.at(20s, [&] { world.setCut(0, zone); });
        world.at(30s, [&] { world.setCut(0, {}); });
        world.runUntil(45s);
        const load_summary seen = summarize(world, 20s, 34s, 0);
        print("cut off", world, seen);
        cr_expect_geq(seen.served, 0.99);
        cr_expect_geq(summarize(world, 24s, 30s, 0).onTime, 0.7);
    }
}
