#include "decisions/limits/limit_world.h"

#include <criterion/criterion.h>

#include <algorithm>

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

// Guards against more than the limit itself, whatever the rule allows beyond it: from the second after the first answer that
// names it, no more than the limit in all, and one turn at either end.
Test(named_limit, is_not_exceeded_in_the_long_run)
{
    for (const bool hasAgents : { false, true }) {
        for (const double limit : { 1.0, 1.8, 3.2, 12.0 }) {
            limit_world world({ .endpoints = 3, .limit = limit, .hasAgents = hasAgents });
            world.runUntil(34s);
            cr_assert_leq(world.arrivals(0, 7s, 30s), static_cast<std::size_t>(23 * limit + 1 + std::max(1.0, limit / 2)));
            cr_assert_geq(world.arrivals(0, 7s, 30s), static_cast<std::size_t>(23 * limit * 0.5), "limit %.1f: %zu", limit, world.arrivals(0, 7s, 30s));
        }
    }
}

// Guards against entries that are told late, since the news is lost.
Test(named_limit, is_kept_though_datagrams_are_lost)
{
    for (const bool hasAgents : { false, true })
        expectWithinBound({ .limit = 1.0, .datagramLoss = 0.4, .hasAgents = hasAgents }, [](limit_world&) {});
}

// Guards against entries that forget the limit and their own sends when they start again, all of them one after another.
Test(named_limit, is_kept_by_entries_that_restart)
{
    expectWithinBound({ .limit = 1.0 }, [](limit_world& world) {
        for (std::size_t entry = 0; entry < 8; ++entry) {
            world.at(9s + entry * 800ms, [&world, entry] { world.restartEntry(entry); });
            world.at(18s + entry * 300ms, [&world, entry] { world.restartEntry(entry); });
        }
    });
}

// Guards against entries that hear nothing from each other: each of them learns the limit by itself, and keeps to its turns.
Test(named_limit, is_kept_by_entries_that_are_cut_off)
{
    expectWithinBound({ .limit = 1.0 }, [](limit_world& world) {
        for (std::size_t entry = 0; entry < 8; ++entry)
            world.at(5s, [&world, entry] { world.cutEntry(entry, 25s); });
    });
}

// Guards against news that arrive twice, late, or behind others that were sent after them.
Test(named_limit, is_kept_though_news_overtake_each_other)
{
    for (const bool hasAgents : { false, true })
        expectWithinBound({ .limit = 1.2, .datagramLoss = 0.1, .datagramDuplication = 0.3, .datagramJitter = 400ms, .hasAgents = hasAgents }, [](limit_world& world) {
            world.at(14s, [&world] { world.changeLimit(2.4); });
            world.at(22s, [&world] { world.changeLimit(1.0); });
        });
}

// Guards against entries that wake and act on what they knew or were told before: limits, their ages and turns.
Test(named_limit, is_kept_by_entries_that_freeze)
{
    for (const bool hasAgents : { false, true })
        expectWithinBound({ .endpoints = 3, .limit = 1.2, .requestInterval = 30ms, .hasAgents = hasAgents }, [](limit_world& world) {
            for (std::size_t entry = 0; entry < 8; ++entry)
                world.at(5s + entry * 1700ms, [&world, entry] { world.freezeEntry(entry, 3500ms); });
            world.at(15s, [&world] { world.changeLimit(2.4); });
            world.at(21s, [&world] { world.changeLimit(1.0); });
        });
}

// Guards against a limit that changes while it lasts, also with every answer.
Test(named_limit, is_kept_while_it_changes)
{
    expectWithinBound({ .limit = 3.0 }, [](limit_world& world) {
        world.at(12s, [&world] { world.changeLimit(1.0); });
        world.at(20s, [&world] { world.changeLimit(2.0); });
    });
    expectWithinBound({ .endpoints = 3, .limit = 1.0 }, [](limit_world& world) {
        for (int change = 0; change < 400; ++change)
            world.at(6s + change * 50ms, [&world, change] { world.changeLimit(1.0 + 0.01 * (change % 7)); });
    });
}

// Guards against an endpoint that is never used again after its limit has ended, and against entries that all come back at once.
Test(named_limit, ends_with_the_first_answer_without_it)
{
    for (const bool hasAgents : { false, true }) {
        limit_world world({ .endpoints = 4, .limit = 1.8, .hasAgents = hasAgents });
        world.runUntil(45s);
        const std::size_t usual = world.sent(1s, 45s) / 44 / 4;
        cr_assert_leq(world.arrivals(0, 30s, 31s), usual);
        cr_assert_geq(world.arrivals(0, 38s, 43s), 5 * usual / 2);
    }
}

// Guards against requests that are refused or wait though other endpoints have room.
Test(named_limit, sends_the_rest_to_other_endpoints)
{
    limit_world world({});
    world.runUntil(34s);
    cr_assert_eq(world.refused(0s, 34s), 0);
}

// Guards against a service whose endpoints are all limited and that then takes less than they do, or more.
Test(named_limit, of_all_endpoints_is_what_the_service_takes)
{
    limit_world world({ .endpoints = 3, .limited = 3, .limit = 2.0, .requestInterval = 60ms });
    world.runUntil(34s);
    cr_assert_leq(world.worstWindow(), 1.0);
    for (std::size_t endpoint = 0; endpoint < 3; ++endpoint)
        cr_assert_geq(world.arrivals(endpoint, 7s, 30s), 46 * 7 / 10, "%zu", world.arrivals(endpoint, 7s, 30s));
}

// Guards against callers that are refused at one entry while the turns of the others pass unused.
Test(named_limit, of_all_endpoints_is_used_though_each_entry_owns_few_turns)
{
    limit_world world({ .entries = 48, .endpoints = 3, .limited = 3, .limit = 2.0, .requestInterval = 500ms });
    world.runUntil(34s);
    cr_assert_leq(world.refused(8s, 30s), world.sent(8s, 30s) / 5, "%zu of %zu", world.refused(8s, 30s), world.sent(8s, 30s));
}

// Guards against a turn that is used twice, as it was lent and the answer was lost, late or came twice.
Test(named_limit, of_all_endpoints_is_kept_though_turns_are_lent)
{
    for (const duration datagramDelay : { 2ms, 120ms }) {
        limit_world world({ .endpoints = 2, .limited = 2, .limit = 1.5, .requestInterval = 60ms, .datagramDelay = datagramDelay, .datagramLoss = 0.3, .datagramDuplication = 0.7 });
        for (std::size_t entry = 0; entry < 8; ++entry)
            world.at(10s + entry * 700ms, [&world, entry] { world.restartEntry(entry); });
        world.runUntil(34s);
        cr_assert_leq(world.worstWindow(), 1.0);
        for (std::size_t endpoint = 0; endpoint < 2; ++endpoint)
            cr_assert_leq(world.arrivals(endpoint, 17s, 30s), static_cast<std::size_t>(13 * 1.5 + 2), "%zu", world.arrivals(endpoint, 17s, 30s));
    }
}
