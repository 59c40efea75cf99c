#include "decisions/crashes/crash_world.h"

#include <criterion/criterion.h>

using namespace appleramp;
using namespace appleramp::tests;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t crashingContent = 77;
constexpr std::uint64_t seeds = 40;
// The users' bound: retries that reach engines later than the contact time after the third engine died.
constexpr std::size_t maxLateSends = 3;
constexpr std::size_t deathsUntilBound = 3;

simulated_request crashingRequest() { return { crashingContent, true }; }

std::function<simulated_request()> soundRequests()
{
    return [next = std::make_shared<std::uint64_t>(1000)] { return simulated_request { ++*next, false }; };
}

// Sound requests all the time, and one that crashes engines, sent again at random entries until the end.
void play(crash_world& world, duration until)
{
    world.sendEvery(25ms, 2s, until, soundRequests());
    world.sendEvery(400ms, 10s, until, crashingRequest);
    world.runUntil(until);
}

} // namespace

// Guards against a request that crashes one engine after another: the engines are back at their addresses under new ids before
// the registry drops the old ones, and nobody connects to them while their group stalls.
Test(crashing_request, is_refused_everywhere_after_few_engines_died)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        crash_world world({ .seed = seed });
        play(world, 60s);
        cr_assert_leq(world.lateSends(deathsUntilBound), maxLateSends, "seed %lu: %zu late sends, %zu engines died", seed,
            world.lateSends(deathsUntilBound), world.engineDeaths());
    }
}

// Guards against reports of crashes that are lost on the way.
Test(crashing_request, is_refused_everywhere_though_datagrams_are_lost)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        crash_world world({ .seed = seed, .datagramLoss = 0.4 });
        play(world, 60s);
        cr_assert_leq(world.lateSends(deathsUntilBound), maxLateSends, "seed %lu: %zu late sends, %zu engines died", seed,
            world.lateSends(deathsUntilBound), world.engineDeaths());
    }
}

// Guards against entries that forget the request when they start again, or never hear of it since they were cut off.
Test(crashing_request, is_remembered_by_entries_that_restart_or_were_cut_off)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        crash_world world({ .seed = seed });
        for (std::size_t entry = 0; entry < 8; ++entry)
            world.at(20s + entry * 1500ms, [&world, entry] { world.restartEntry(entry); });
        world.at(9s, [&world] { world.cutEntry(2, 25s); });
        play(world, 60s);
        cr_assert_leq(world.lateSends(deathsUntilBound), maxLateSends, "seed %lu: %zu late sends, %zu engines died", seed,
            world.lateSends(deathsUntilBound), world.engineDeaths());
    }
}

// Guards against convictions of sound requests: those that run beside a crashing one are served as before.
Test(crashing_request, leaves_the_others_served)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        crash_world world({ .seed = seed });
        play(world, 60s);
        cr_assert_geq(world.soundBegun(40s, 58s), 0.9, "seed %lu: %f begun", seed, world.soundBegun(40s, 58s));
    }
}
