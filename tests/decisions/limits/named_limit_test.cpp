#include "decisions/limits/limit_world.h"

#include <criterion/criterion.h>

using namespace appleramp;
using namespace appleramp::tests;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t seeds = 20;

// Plays it with each seed, and `disturb` with it, and checks the users' bound.
void expectWithinBound(limit_world_settings settings, const std::function<void(limit_world&)>& disturb)
{
    for (settings.seed = 1; settings.seed <= seeds; ++settings.seed) {
        limit_world world(settings);
        disturb(world);
        world.runUntil(34s);
        cr_assert_leq(world.worstWindow(), 1.0, "seed %lu: %.2f times what the rule allows", settings.seed, world.worstWindow());
    }
}

} // namespace

// Guards against endpoints that get far more requests than the limit that they name: the limit is for all entries together,
// and each of them must keep to its part of it.
Test(named_limit, is_kept_by_all_entries_together)
{
    for (const double limit : { 1.0, 1.8, 3.2 })
        expectWithinBound({ .limit = limit }, [](limit_world&) {});
}

// Guards against shares below one request: at one request per second, each of 48 entries may send one in 48 seconds.
Test(named_limit, is_kept_by_many_entries)
{
    expectWithinBound({ .entries = 48, .endpoints = 100, .limit = 1.0, .requestInterval = 2ms }, [](limit_world&) {});
}

// Guards against limits of the few endpoints of a plain service, which have no agents that could tell of them.
Test(named_limit, is_kept_at_a_service_of_few_endpoints)
{
    expectWithinBound({ .endpoints = 3, .limit = 2.9, .requestInterval = 60ms }, [](limit_world&) {});
}
