#include "store_world.h"

#include <criterion/criterion.h>

#include <algorithm>

// The store fails and returns before 71 entries with their real followers and reducers, in virtual time.

using namespace appleramp;
using namespace appleramp::tests;
using namespace std::chrono_literals;

namespace {

// Not a multiple of the long polls' time, so that polls are in progress.
constexpr duration outageStart = 12370ms;

double seconds(duration time) { return std::chrono::duration<double>(time).count(); }

// Calls to the store during an outage.
std::uint64_t playOutage(store_world& world, store_mode mode, duration length, duration start = outageStart)
{
    std::uint64_t before = 0;
    std::uint64_t during = 0;
    world.at(start, [&] {
        before = world.store().calls();
        world.store().setMode(mode);
    });
    world.at(start + length, [&] {
        during = world.store().calls() - before;
        world.store().setMode(store_mode::Up);
    });
    world.runUntil(start + length + 3s);
    return during;
}

void expectServiceAfter(const store_world& world, duration back, const std::string& what)
{
    const double served = world.served(back + 500ms, back + 1s);
    cr_expect_geq(served, 0.9, "%s: %.3f served 0.5 s after the return", what.c_str(), served);
}

void checkOutage(store_mode mode, duration length, const std::string& what)
{
    for (const duration later : { 0ms, 410ms, 870ms }) {
        const duration start = outageStart + later;
        const duration back = start + length;
        store_world today({ .seed = 3, .fastReturn = false });
        store_world world({ .seed = 3 });
        const std::uint64_t callsToday = playOutage(today, mode, length, start);
        const std::uint64_t calls = playOutage(world, mode, length, start);
        expectServiceAfter(world, back, what);
        cr_expect_leq(calls, callsToday, "%s: %lu calls, today %lu", what.c_str(), calls, callsToday);
        const auto lost = world.lastLogged("store_lost", start);
        cr_expect(lost && *lost - start <= 1s, "%s: store_lost after %.2f s", what.c_str(), lost ? seconds(*lost - start) : -1);
        const auto regained = world.lastLogged("store_regained", back);
        cr_expect(regained && *regained - back <= 200ms, "%s: return noticed after %.2f s", what.c_str(), regained ? seconds(*regained - back) : -1);
        cr_expect_eq(world.logged("store_lost"), 71, "%s: %zu losses", what.c_str(), world.logged("store_lost"));
    }
}

} // namespace

// Entries notice the store's return late: backoff, then a long poll that is answered only when it ends.
Test(store_return, is_noticed_after_refusals)
{
    for (const duration length : { 2s, 4s, 8s, 20s })
        checkOutage(store_mode::Busy, length, "busy " + std::to_string(seconds(length)));
}

Test(store_return, is_noticed_after_resets)
{
    for (const duration length : { 2s, 4s, 8s, 20s })
        checkOutage(store_mode::Reset, length, "reset " + std::to_string(seconds(length)));
}

Test(store_return, is_noticed_after_silence)
{
    for (const duration length : { 2s, 4s, 8s, 20s })
        checkOutage(store_mode::Silent, length, "silent " + std::to_string(seconds(length)));
}

Test(store_return, is_noticed_after_a_standstill)
{
    for (const duration length : { 2s, 4s, 8s, 20s })
        checkOutage(store_mode::Frozen, length, "frozen " + std::to_string(seconds(length)));
}

// Small zones have few calls to save: the probes must not exceed them.
Test(store_return, takes_no_more_calls_in_small_zones)
{
    for (const std::vector<std::size_t>& zones : { std::vector<std::size_t> { 1 }, { 2, 1 }, { 3, 3, 3 }, { 12, 12, 11 } }) {
        for (const store_mode mode : { store_mode::Busy, store_mode::Silent }) {
            store_world today({ .seed = 5, .zones = zones, .fastReturn = false });
            store_world world({ .seed = 5, .zones = zones });
            const std::uint64_t callsToday = playOutage(today, mode, 8s);
            const std::uint64_t calls = playOutage(world, mode, 8s);
            cr_expect_leq(calls, callsToday, "first zone of %zu, mode %d: %lu calls, today %lu", zones.front(), static_cast<int>(mode), calls, callsToday);
            if (mode == store_mode::Busy)
                expectServiceAfter(world, outageStart + 8s, "small zones");
        }
    }
}

// An answer that confirms the configuration a while before the outage leaves less of the bound for it.
Test(store_return, costs_callers_nothing_after_a_short_outage)
{
    for (const store_mode mode : { store_mode::Busy, store_mode::Silent }) {
        store_world world({ .seed = 7 });
        // The bound of 5 s less 0.3 s for sending, 1 s between two confirmations, and 0.2 s until the return is noticed.
        playOutage(world, mode, 3500ms);
        cr_expect_eq(world.served(outageStart, outageStart + 6s), 1.0, "%.4f", world.served(outageStart, outageStart + 6s));
    }
}

// A slow store is not a lost one.
Test(store_return, is_not_awaited_while_the_store_is_only_slow)
{
    store_world world({ .seed = 8 });
    world.at(outageStart, [&] { world.store().setAnswerDelay(400ms); });
    world.runUntil(outageStart + 15s);
    cr_expect_leq(world.logged("store_lost"), 71, "%zu losses", world.logged("store_lost"));
    cr_expect_eq(world.served(outageStart, outageStart + 15s), 1.0);
}

// The prober dies, stands still or is cut off at the moment of the return, so that nobody notices it.
Test(store_return, is_noticed_without_the_prober)
{
    for (int fault = 0; fault < 4; ++fault) {
        for (const std::uint64_t seed : { 1, 2, 3 }) {
            store_world world({ .seed = seed });
            const duration back = outageStart + 6s;
            world.at(back - 10ms, [&] {
                for (std::size_t zone = 0; zone < 3; ++zone) {
                    const std::string prober = world.prober(zone);
                    if (fault == 0)
                        world.kill(prober);
                    else if (fault == 1)
                        world.freeze(prober, 5s);
                    else if (fault == 2)
                        world.cut(prober, 5s);
                }
            });
            // The prober alone goes on being turned away.
            if (fault == 3)
                world.at(back, [&] { world.at(duration(back + 1us), [&] { world.store().setMode(store_mode::Reset, { world.prober(0), world.prober(1), world.prober(2) }); }); });
            playOutage(world, store_mode::Reset, 6s);
            expectServiceAfter(world, back, "prober with fault " + std::to_string(fault));
        }
    }
}

// The zone's first entry reads the store in quiet times; what it can't see, the others would not either.
Test(store_return, does_not_depend_on_the_reader)
{
    for (int fault = 0; fault < 3; ++fault) {
        store_world world({ .seed = 11 });
        const duration back = outageStart + 6s;
        world.at(back - 10ms, [&] {
            for (std::size_t zone = 0; zone < 3; ++zone) {
                if (fault == 0)
                    world.kill(store_world::name(zone, 0));
                else if (fault == 1)
                    world.freeze(store_world::name(zone, 0), 5s);
                else
                    world.cut(store_world::name(zone, 0), 5s);
            }
        });
        playOutage(world, store_mode::Silent, 6s);
        expectServiceAfter(world, back, "reader with fault " + std::to_string(fault));
    }
}

// An entry that the store turns away is served by the confirmations of the others, in its zone and in others.
Test(store_return, is_not_needed_where_another_entry_is_served)
{
    std::set<std::string> machines { store_world::name(1, 0) };
    for (std::size_t number = 0; number < 24; ++number)
        machines.insert(store_world::name(0, number));
    for (const store_mode mode : { store_mode::Busy, store_mode::Silent }) {
        store_world world({ .seed = 12 });
        world.at(outageStart, [&] { world.store().setMode(mode, machines); });
        world.runUntil(outageStart + 15s);
        cr_expect_eq(world.served(outageStart, outageStart + 15s), 1.0, "%.4f", world.served(outageStart, outageStart + 15s));
    }
}

// Entries that start during an outage know no other entry.
Test(store_return, is_noticed_after_all_entries_restarted)
{
    for (const store_mode mode : { store_mode::Busy, store_mode::Reset, store_mode::Silent, store_mode::Frozen }) {
        store_world world({ .seed = 13 });
        world.at(outageStart + 2s, [&] {
            for (std::size_t zone = 0; zone < 3; ++zone) {
                for (std::size_t number = 0; number < (zone == 2 ? 23 : 24); ++number)
                    world.restart(store_world::name(zone, number));
            }
        });
        playOutage(world, mode, 8s);
        expectServiceAfter(world, outageStart + 8s, "restarted, mode " + std::to_string(static_cast<int>(mode)));
    }
}

// Callers that are refused together must not return together, nor all too early.
Test(store_return, is_awaited_by_callers_for_different_times)
{
    store_world world({ .seed = 14 });
    playOutage(world, store_mode::Reset, 12s);
    const auto values = world.retryAfters(outageStart + 8s, outageStart + 11s);
    cr_assert_gt(values.size(), 500);
    for (duration from {}; from < 3s; from += 500ms) {
        const auto share = static_cast<double>(std::count_if(values.begin(), values.end(), [from](duration value) { return value >= from && value < from + 500ms; })) / static_cast<double>(values.size());
        cr_expect_lt(share, 0.3, "%.2f of the callers return within the half second from %.1f s", share, seconds(from));
    }
    // Callers wait 9 s, and a Retry-After is honoured up to a third of it.
    cr_expect_leq(*std::max_element(values.begin(), values.end()), 3s);
}
