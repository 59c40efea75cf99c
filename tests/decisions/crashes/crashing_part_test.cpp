#include "decisions/crashes/crash_world.h"

#include <criterion/criterion.h>

#include <array>

using namespace appleramp;
using namespace appleramp::tests;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t crashingPart = 77;
constexpr std::array<std::uint64_t, 3> firstParts { 1, 2, 3 };
constexpr std::uint64_t topics = 40;
constexpr std::uint64_t seeds = 40;
// Large fleets take longer to play.
constexpr std::uint64_t seedsOfLargeFleets = 8;
constexpr std::size_t largeFleet = 24;
// The users' bounds: requests with the part that reach engines later than the contact time after the fifth engine died, and the
// share of the sound requests with the same first part that begin as before.
constexpr std::size_t maxLateSends = 3;
constexpr std::size_t deathsUntilBound = 5;
constexpr double minSoundBegun = 0.5;

// Requests that are all different: each has a first part that many share and one that some share.
class prompts {
public:
    explicit prompts(std::uint64_t seed)
        : m_random(seed)
    {
    }

    simulated_request sound() { return { next(), { firstParts.at(m_random() % firstParts.size()), 1000 + m_random() % topics }, false }; }
    simulated_request crashing() { return { next(), { firstParts.front(), crashingPart }, true }; }
    // The crashing part alone, in front of what belongs to the request.
    simulated_request crashingAtOnce() { return { next(), { crashingPart }, true }; }

private:
    std::uint64_t next() { return ++m_last; }

    std::mt19937_64 m_random;
    std::uint64_t m_last = 10'000;
};

struct outcome {
    std::size_t lateSends = 0;
    std::size_t deaths = 0;
    double soundBegun = 0;
    std::size_t soundConvicted = 0;
};

using disturbance = std::function<void(crash_world&)>;

// Sound requests all the time, and crashing ones from second 10 on, some of them in waves.
outcome play(const crash_world_settings& settings, const disturbance& disturb, bool alone = false)
{
    crash_world world(settings);
    auto source = std::make_shared<prompts>(settings.seed);
    disturb(world);
    world.sendEvery(25ms, 2s, 60s, [source] { return source->sound(); });
    const auto crashing = [source, alone] { return alone ? source->crashingAtOnce() : source->crashing(); };
    world.sendEvery(700ms, 10s, 60s, crashing);
    for (int wave = 0; wave < 10; ++wave)
        world.sendEvery(10ms, 10s + wave * 5s, 10050ms + wave * 5s, crashing);
    world.runUntil(60s);
    return { world.lateSends(deathsUntilBound), world.engineDeaths(), world.soundBegun(40s, 58s), world.soundConvicted() };
}

void expectFewLateSends(crash_world_settings settings, const disturbance& disturb, bool alone = false)
{
    for (settings.seed = 1; settings.seed <= (settings.entries < largeFleet ? seeds : seedsOfLargeFleets); ++settings.seed) {
        const outcome seen = play(settings, disturb, alone);
        cr_assert_leq(seen.lateSends, maxLateSends, "seed %lu: %zu late sends, %zu engines died", settings.seed, seen.lateSends, seen.deaths);
        cr_assert_eq(seen.soundConvicted, 0, "seed %lu: %zu sound requests refused as convicted", settings.seed, seen.soundConvicted);
        cr_assert_geq(seen.soundBegun, minSoundBegun, "seed %lu: %f of the sound requests begun", settings.seed, seen.soundBegun);
    }
}

void nothingElse(crash_world&) { }

void restartAll(crash_world& world) { world.restartAllEntries(); }

} // namespace

// Guards against requests, no two alike, that crash one engine after another by one part of their prompts, which they share.
Test(crashing_part, is_refused_everywhere_after_few_engines_died)
{
    expectFewLateSends({}, nothingElse);
}

// Guards against taking the part for one that belongs to its request alone.
Test(crashing_part, is_found_where_it_is_the_first_part)
{
    expectFewLateSends({}, nothingElse, true);
}

Test(crashing_part, is_refused_everywhere_though_datagrams_are_lost)
{
    expectFewLateSends({ .datagramLoss = 0.4 }, nothingElse);
}

Test(crashing_part, is_refused_everywhere_though_agents_report_nothing)
{
    expectFewLateSends({ .agentsReportDeaths = false }, nothingElse);
}

Test(crashing_part, is_remembered_by_entries_that_restart_or_were_cut_off)
{
    expectFewLateSends({}, [](crash_world& world) {
        for (std::size_t entry = 0; entry < 8; ++entry)
            world.at(24s + entry * 1500ms, [&world, entry] { world.restartEntry(entry); });
        world.at(9s, [&world] { world.cutEntry(2, 30s); });
    });
}

Test(crashing_part, is_remembered_though_all_entries_restart_together)
{
    expectFewLateSends({}, [](crash_world& world) {
        for (const duration when : { 26s, 38s, 50s })
            world.at(when, [&world] { restartAll(world); });
    });
}

Test(crashing_part, is_refused_everywhere_while_the_store_is_away)
{
    expectFewLateSends({ .datagramLoss = 0.4 }, [](crash_world& world) {
        world.at(5s, [&world] { world.stopStore(60s); });
        for (std::size_t entry = 0; entry < 8; ++entry)
            world.at(24s + entry * 1500ms, [&world, entry] { world.restartEntry(entry); });
    });
}

// Guards against convicting the first part, which many sound requests share, by entries that do not remember it to be sound.
Test(crashing_part, is_told_from_sound_parts_by_entries_without_memory)
{
    expectFewLateSends({}, [](crash_world& world) {
        for (const duration when : { 15s, 20s, 25s, 30s, 50s })
            world.at(when, [&world] { restartAll(world); });
    });
}

// Guards against convicting the first part where each entry sees few of the answers that show it to be sound.
Test(crashing_part, is_told_from_sound_parts_by_many_entries)
{
    expectFewLateSends({ .entries = 48, .engines = 64 }, nothingElse);
}

Test(crashing_part, is_refused_everywhere_though_engines_lose_power_as_well)
{
    expectFewLateSends({}, [](crash_world& world) {
        for (int time = 12; time < 40; time += 6)
            world.at(std::chrono::seconds(time), [&world, time] { world.killEngines(time % 4 == 0 ? 1 : 5); });
    });
}

// Guards against convicting sound parts where engines die of other causes, one by one or many together.
Test(crashing_part, is_not_seen_where_engines_lose_power)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        crash_world world({ .seed = seed });
        auto source = std::make_shared<prompts>(seed);
        world.sendEvery(15ms, 2s, 60s, [source] { return source->sound(); });
        for (int time = 10; time < 50; time += 5)
            world.at(std::chrono::seconds(time), [&world, time] { world.killEngines(time % 10 == 0 ? 1 : 6); });
        world.runUntil(60s);
        cr_assert_eq(world.soundConvicted(), 0, "seed %lu: %zu sound requests convicted", seed, world.soundConvicted());
    }
}
