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

simulated_request crashingRequest() { return { crashingContent, {}, true }; }

std::function<simulated_request()> soundRequests()
{
    return [next = std::make_shared<std::uint64_t>(1000)] { return simulated_request { ++*next, {}, false }; };
}

// Sound requests all the time, and one that crashes engines, sent again at random entries until the end.
void play(crash_world& world, duration until)
{
    world.sendEvery(25ms, 2s, until, soundRequests());
    world.sendEvery(400ms, 10s, until, crashingRequest);
    world.runUntil(until);
}

// Plays it with each seed, and `disturb` with it, and checks the users' bound.
void expectFewLateSends(crash_world_settings settings, const std::function<void(crash_world&)>& disturb)
{
    for (settings.seed = 1; settings.seed <= seeds; ++settings.seed) {
        crash_world world(settings);
        disturb(world);
        play(world, 60s);
        cr_assert_leq(world.lateSends(deathsUntilBound), maxLateSends, "seed %lu: %zu late sends, %zu engines died", settings.seed,
            world.lateSends(deathsUntilBound), world.engineDeaths());
    }
}

} // namespace

// Guards against a request that crashes one engine after another: the engines are back at their addresses under new ids before
// the registry drops the old ones, and nobody connects to them while their group stalls.
Test(crashing_request, is_refused_everywhere_after_few_engines_died)
{
    expectFewLateSends({}, [](crash_world&) {});
}

// Guards against deaths that only agents see: they may be frozen or killed.
Test(crashing_request, is_refused_everywhere_though_agents_report_nothing)
{
    expectFewLateSends({ .agentsReportDeaths = false }, [](crash_world&) {});
}

// Guards against reports of crashes that are lost on the way.
Test(crashing_request, is_refused_everywhere_though_datagrams_are_lost)
{
    expectFewLateSends({ .datagramLoss = 0.4 }, [](crash_world&) {});
}

// Guards against entries that forget the request when they start again, or never hear of it since they were cut off.
Test(crashing_request, is_remembered_by_entries_that_restart_or_were_cut_off)
{
    expectFewLateSends({}, [](crash_world& world) {
        for (std::size_t entry = 0; entry < 8; ++entry)
            world.at(20s + entry * 1500ms, [&world, entry] { world.restartEntry(entry); });
        world.at(9s, [&world] { world.cutEntry(2, 25s); });
    });
}

// Guards against a fleet that forgets the request when all its entries are killed at once.
Test(crashing_request, is_remembered_though_all_entries_restart_together)
{
    expectFewLateSends({}, [](crash_world& world) {
        for (const duration when : { 21s, 33s, 45s })
            world.at(when, [&world] { world.restartAllEntries(); });
    });
}

// Guards against knowledge that depends on the store.
Test(crashing_request, is_refused_everywhere_while_the_store_is_away)
{
    expectFewLateSends({ .datagramLoss = 0.4 }, [](crash_world& world) {
        world.at(5s, [&world] { world.stopStore(60s); });
        for (std::size_t entry = 0; entry < 8; ++entry)
            world.at(20s + entry * 1500ms, [&world, entry] { world.restartEntry(entry); });
    });
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
