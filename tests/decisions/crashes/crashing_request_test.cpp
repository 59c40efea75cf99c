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

// Plays it with each seed, and `disturb` with it, and checks the users' bound, before engines that serve each by itself and before
// a group.
void expectFewLateSends(crash_world_settings settings, const std::function<void(crash_world&)>& disturb)
{
    for (settings.seed = 1; settings.seed <= seeds; ++settings.seed) {
        for (const bool hasExperts : { false, true }) {
            settings.hasExperts = hasExperts;
            crash_world world(settings);
            disturb(world);
            play(world, 60s);
            cr_assert_leq(world.lateSends(deathsUntilBound), maxLateSends, "seed %lu, experts %d: %zu late sends, %zu engines died", settings.seed,
                hasExperts, world.lateSends(deathsUntilBound), world.engineDeaths());
        }
    }
}

// Plays the request before a group until just before it may be tried again.
void expectGroupDeaths(crash_world_settings settings, std::size_t maxDeaths, const std::function<void(crash_world&)>& disturb)
{
    settings.hasExperts = true;
    for (settings.seed = 1; settings.seed <= seeds; ++settings.seed) {
        crash_world world(settings);
        disturb(world);
        play(world, 10s + crash_ledger::trialInterval);
        cr_assert_leq(world.engineDeaths(), maxDeaths, "seed %lu: %zu engines died", settings.seed, world.engineDeaths());
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

// Guards against a request that takes down its group twice within seconds: callers send it again before the group has formed, and
// the engine that begins it first when the group serves again dies of it.
Test(crashing_request, takes_down_its_group_once_a_minute)
{
    expectGroupDeaths({}, 1, [](crash_world&) {});
}

// Guards against a fleet that forgets who is accused: one further death may come before all entries have heard of the first.
Test(crashing_request, takes_down_its_group_few_times_though_entries_forget)
{
    expectGroupDeaths({ .datagramLoss = 0.4 }, 2, [](crash_world&) {});
    expectGroupDeaths({}, 2, [](crash_world& world) {
        for (const duration when : { 21s, 33s, 45s })
            world.at(when, [&world] { world.restartAllEntries(); });
    });
}

// Guards against sound requests that are refused for ever, since an endpoint of their group died of another cause as it began them:
// they are tried again after a minute, and then served as before.
Test(crashing_request, which_was_accused_wrongly_is_tried_again)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        crash_world world({ .seed = seed, .engines = 2, .hasExperts = true });
        const auto make = [] { return simulated_request { crashingContent, {}, false }; };
        // Many at once, so that the endpoint that dies has begun one, and none has answered yet.
        world.sendEvery(2ms, 10s, 10s + 50ms, make);
        world.at(10s + 51ms, [&world] { world.killEngines(1); });
        world.sendEvery(500ms, 16s, 100s, make);
        world.runUntil(100s);
        cr_assert_leq(world.soundBegun(16s, 60s), 0, "seed %lu: not accused", seed);
        cr_assert_geq(world.soundBegun(75s, 99s), 0.95, "seed %lu: %f begun", seed, world.soundBegun(75s, 99s));
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
