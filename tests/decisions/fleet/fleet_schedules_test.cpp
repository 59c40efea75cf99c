#include "decisions/fleet/fleet_schedule.h"
#include "decisions/fleet/fleet_world.h"

#include <criterion/criterion.h>

using namespace appleramp::tests;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t firstSeed = 1;
constexpr std::uint64_t seeds = 300;

} // namespace

// Guards against promises that hold under each fault alone and break where faults follow each other and overlap: at most once, "not
// run" is true, leaving endpoints, pauses, limits, cold endpoints, zones out, service after the last fault.
Test(fleet_schedules, hold_what_the_fleet_promises)
{
    for (std::uint64_t seed = firstSeed; seed < firstSeed + seeds; ++seed) {
        const fleet_schedule_result result = runFleetSchedule(seed);
        cr_assert(result.broken.empty(), "seed %lu: %s", seed, result.broken.c_str());
    }
}

// Guards against a world that refuses what it could serve: without faults nearly all is served.
Test(fleet_schedules, serve_without_faults)
{
    fleet_world world({ .seed = 7 });
    world.runUntil(30s);
    cr_assert(world.broken().empty(), "%s", world.broken().c_str());
    cr_assert_geq(world.served(5s, 28s), 0.99);
}
