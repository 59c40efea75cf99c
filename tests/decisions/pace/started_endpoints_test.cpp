#include "decisions/pace/pace_world.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace appleramp;
using namespace appleramp::tests;
using namespace std::chrono_literals;

// Endpoints that start or recover: the cold limit of all entries holds in every second, the first request comes soon, and 0.8 of what
// their peers do is done two seconds after the endpoints are able to.

namespace {

constexpr std::uint64_t seeds = 5;
constexpr double coldRate = 26;
constexpr std::size_t coldLimit = 44;
constexpr duration firstRequestBound = 300ms;
constexpr duration usedAfter = 2s;
constexpr double usedFraction = 0.8;
// Time over which use is averaged: a plain endpoint gets some 14 requests in a second.
constexpr duration usePeriod = 2s;
// The endpoints stop at `stopped` and start again at `started`.
constexpr duration stopped = 6s;
constexpr duration started = 8s;

pace_world_settings group(double requestsPerSecond)
{
    return { .endpoints = 72, .slots = 10, .queuePlaces = 20, .isGroup = true, .answerTime = 800ms, .requestsPerSecond = requestsPerSecond, .coldRate = coldRate };
}

pace_world_settings plain(double requestsPerSecond, std::size_t entries = 71, std::size_t endpoints = 7)
{
    return { .entries = entries, .endpoints = endpoints, .requestsPerSecond = requestsPerSecond, .coldRate = coldRate };
}

std::vector<std::size_t> each(std::size_t step, std::size_t endpoints)
{
    std::vector<std::size_t> chosen;
    for (std::size_t endpoint = 0; endpoint < endpoints; endpoint += step)
        chosen.push_back(endpoint);
    return chosen;
}

void replaceAt(pace_world& world, const std::vector<std::size_t>& endpoints, duration coldFor = 1s)
{
    for (const std::size_t endpoint : endpoints) {
        world.at(stopped, [&world, endpoint] { world.stopEndpoint(endpoint); });
        world.at(started, [&world, endpoint, coldFor] { world.startEndpoint(endpoint, coldFor); });
    }
}

double meanBusy(const pace_world& world, const std::vector<std::size_t>& endpoints, duration from)
{
    double sum = 0;
    for (const std::size_t endpoint : endpoints)
        sum += world.busy(endpoint, from, from + usePeriod);
    return sum / static_cast<double>(endpoints.size());
}

void expectLimit(const pace_world& world, std::uint64_t seed)
{
    cr_expect_leq(world.worstSecond(), coldLimit, "seed %lu: %zu requests in a second", seed, world.worstSecond());
}

void expectUsed(pace_world& world, const pace_world_settings& settings, const std::vector<std::size_t>& endpoints, duration able)
{
    world.runUntil(able + usedAfter + usePeriod);
    std::vector<std::size_t> others;
    for (std::size_t endpoint = 0; endpoint < settings.endpoints; ++endpoint) {
        if (std::find(endpoints.begin(), endpoints.end(), endpoint) == endpoints.end())
            others.push_back(endpoint);
    }
    const double used = meanBusy(world, endpoints, able + usedAfter);
    const double usual = meanBusy(world, others, able + usedAfter);
    cr_expect_geq(used, usedFraction * usual, "seed %lu: %.2f run there, %.2f at others", settings.seed, used, usual);
    expectLimit(world, settings.seed);
}

void expectFirstRequest(const pace_world& world, std::uint64_t seed, const std::vector<std::size_t>& endpoints, duration able)
{
    for (const std::size_t endpoint : endpoints) {
        const duration first = world.firstRequestAfter(endpoint, able);
        cr_expect_leq(first.count(), firstRequestBound.count(), "seed %lu, endpoint %zu: first request after %ld us", seed, endpoint, first.count());
    }
}

} // namespace

Test(started_endpoints, take_a_flood_after_half_of_a_group_was_replaced, .timeout = 60)
{
    auto settings = group(700);
    const auto replaced = each(2, settings.endpoints);
    for (settings.seed = 1; settings.seed <= seeds; ++settings.seed) {
        pace_world world(settings);
        replaceAt(world, replaced);
        expectUsed(world, settings, replaced, started);
        expectFirstRequest(world, settings.seed, replaced, started);
        for (const std::size_t endpoint : replaced)
            cr_expect_eq(world.rejected(endpoint), 0);
    }
}

Test(started_endpoints, take_a_flood_after_half_of_a_plain_service_was_replaced, .timeout = 60)
{
    for (auto settings : { plain(100), plain(28.7), plain(36.8, 35, 3), plain(50, 35, 3) }) {
        const auto replaced = each(2, settings.endpoints - 1);
        for (settings.seed = 1; settings.seed <= seeds; ++settings.seed) {
            pace_world world(settings);
            replaceAt(world, replaced);
            // Two seconds hold few requests of a small service, so three are counted.
            world.runUntil(started + usedAfter + 3s);
            std::size_t used = 0;
            for (const std::size_t endpoint : replaced)
                used += world.arrivals(endpoint, started + usedAfter, started + usedAfter + 3s);
            std::size_t all = 0;
            for (std::size_t endpoint = 0; endpoint < settings.endpoints; ++endpoint)
                all += world.arrivals(endpoint, started + usedAfter, started + usedAfter + 3s);
            const double usual = static_cast<double>(all * replaced.size()) / static_cast<double>(settings.endpoints);
            cr_expect_geq(static_cast<double>(used), usedFraction * usual, "%.1f/s, seed %lu: %zu of %.1f", settings.requestsPerSecond, settings.seed, used, usual);
            // first_request_test.cpp checks it for fewer requests.
            if (settings.requestsPerSecond > 30)
                expectFirstRequest(world, settings.seed, replaced, started);
            expectLimit(world, settings.seed);
        }
    }
}

Test(started_endpoints, take_work_after_their_zone_is_back, .timeout = 60)
{
    auto settings = group(600);
    const auto zone = each(3, settings.endpoints);
    for (settings.seed = 1; settings.seed <= seeds; ++settings.seed) {
        pace_world world(settings);
        world.at(stopped, [&world] { world.setZonesOut({ availability_zone_id("a") }); });
        world.at(started, [&world] { world.setZonesOut({}); });
        expectUsed(world, settings, zone, started);
    }
}

// One that was slow for its first three seconds, without a word of the registry that it is cold, and one that recovers halfway, falls
// back and recovers: they get little while they are slow, and their part within two seconds after it.
Test(started_endpoints, are_held_while_they_are_slow, .timeout = 60)
{
    for (auto settings : { group(600), plain(100) }) {
        for (settings.seed = 1; settings.seed <= seeds; ++settings.seed) {
            pace_world world(settings);
            replaceAt(world, { 0 }, 0s);
            world.at(started, [&world] { world.setSlowness(0, 8); });
            world.at(11s, [&world] { world.setSlowness(0, 1); });
            expectUsed(world, settings, { 0 }, 11s);
            cr_expect_eq(world.rejected(0), 0);
        }
    }
    for (auto settings : { group(600), plain(100) }) {
        for (settings.seed = 1; settings.seed <= seeds; ++settings.seed) {
            pace_world world(settings);
            replaceAt(world, { 0 });
            double slowness = 6;
            for (const duration change : { 8s, 9s, 10s, 11s }) {
                world.at(change, [&world, slowness] { world.setSlowness(0, slowness); });
                slowness = slowness == 6 ? 1.5 : 6;
            }
            world.at(12s, [&world] { world.setSlowness(0, 1); });
            expectUsed(world, settings, { 0 }, 12s);
            cr_expect_eq(world.rejected(0), 0);
        }
    }
}

// Guards against a rate that grows by time alone, so that a burst meets an endpoint that has shown nothing.
Test(started_endpoints, take_a_burst_after_silence, .timeout = 60)
{
    auto settings = group(0);
    for (settings.seed = 1; settings.seed <= seeds; ++settings.seed) {
        pace_world world(settings);
        replaceAt(world, { 0 });
        world.at(20s, [&world] { world.setRequestsPerSecond(700); });
        expectUsed(world, settings, { 0 }, 20s);
        expectFirstRequest(world, settings.seed, { 0 }, 20s);
        cr_expect_eq(world.rejected(0), 0);
    }
}

Test(started_endpoints, take_work_though_no_reports_arrive, .timeout = 60)
{
    auto settings = group(600);
    settings.hasNoReports = true;
    const auto replaced = each(2, settings.endpoints);
    for (settings.seed = 1; settings.seed <= seeds; ++settings.seed) {
        pace_world world(settings);
        replaceAt(world, replaced);
        expectUsed(world, settings, replaced, started);
    }
}

Test(started_endpoints, take_work_though_a_third_of_the_entries_hear_nothing_of_each_other, .timeout = 60)
{
    for (auto settings : { group(600), plain(100) }) {
        settings.deaf = 24;
        const auto replaced = each(4, settings.endpoints);
        for (settings.seed = 1; settings.seed <= seeds; ++settings.seed) {
            pace_world world(settings);
            replaceAt(world, replaced);
            expectUsed(world, settings, replaced, started);
        }
    }
}

Test(started_endpoints, take_work_though_all_entries_restart_meanwhile, .timeout = 60)
{
    for (auto settings : { group(600), plain(100) }) {
        const auto replaced = each(4, settings.endpoints);
        for (settings.seed = 1; settings.seed <= seeds; ++settings.seed) {
            pace_world world(settings);
            replaceAt(world, replaced);
            for (std::size_t entry = 0; entry < settings.entries; ++entry)
                world.at(started + 200ms + entry * 5ms, [&world, entry] { world.restartEntry(entry); });
            expectUsed(world, settings, replaced, started);
        }
    }
}

// It refuses connections without any news of it, and accepts them again.
Test(started_endpoints, take_work_after_a_network_cut, .timeout = 60)
{
    for (auto settings : { group(600), plain(100) }) {
        for (settings.seed = 1; settings.seed <= seeds; ++settings.seed) {
            pace_world world(settings);
            world.at(stopped, [&world] { world.setReachable(0, false); });
            world.at(started, [&world] { world.setReachable(0, true); });
            expectUsed(world, settings, { 0 }, started);
            expectFirstRequest(world, settings.seed, { 0 }, started);
        }
    }
}

// Guards against entries whose shares of a small service are used up while those of others are not.
Test(started_endpoints, of_a_small_service_serve_what_the_limit_allows, .timeout = 60)
{
    for (auto settings : { plain(28.7), plain(36.8, 35, 3) }) {
        for (settings.seed = 1; settings.seed <= seeds; ++settings.seed) {
            pace_world world(settings);
            world.runUntil(20s);
            cr_expect_leq(world.refusedFraction(5s, 20s), 0.01, "seed %lu: %.4f", settings.seed, world.refusedFraction(5s, 20s));
            expectLimit(world, settings.seed);
        }
    }
}
