#include "decisions/sharing/room_burst.h"
#include "decisions/sharing/sharing_kinds.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace appleramp;
using namespace appleramp::tests;
using namespace std::chrono_literals;

namespace {

void burst(sharing_world& world, duration from, duration until)
{
    world.at(from, [&world] { world.setRate(2, 100); world.setRate(0, 112); });
    world.at(until, [&world] { world.setRate(2, 20); world.setRate(0, 45); });
}

} // namespace

// Guards against an order that is lost where all callers return at once: engines reject everything for a second, then all come back.
Test(room_callers, that_return_at_once_after_an_outage_are_served_by_urgency)
{
    double rank0 = 0;
    double rank2 = 0;
    for (std::uint64_t seed = 1; seed <= worldSeeds; ++seed) {
        sharing_world world({ .seed = seed, .kinds = ledgerKinds() });
        world.at(10s, [&] { world.closeEngines(1500ms); });
        world.runUntil(24s);
        rank0 += world.results(10s, 13s, 0).servedFraction() / worldSeeds;
        rank2 += world.results(10s, 13s, 2).servedFraction() / worldSeeds;
        cr_expect_geq(world.results(15s, 20s).onTimeFraction(), 0.9, "seed %lu: on time %.3f after the outage", seed, world.results(15s, 20s).onTimeFraction());
    }
    cr_expect_geq(rank0, rank2 - 0.05, "rank 0 served %.3f, rank 2 %.3f", rank0, rank2);
}

// Guards against callers that get more by coming back at once and repeatedly than others do by waiting as they are told.
Test(room_callers, that_retry_at_once_gain_nothing)
{
    const auto [impatient, patient] = worthOfRetries(true);
    cr_expect_leq(impatient, patient, "impatient callers earn %.3f, others %.3f", impatient, patient);
}

// Guards against places and shares that stay taken after their callers have left.
Test(room_callers, that_leave_free_their_places_at_once)
{
    for (std::uint64_t seed = 1; seed <= worldSeeds; ++seed) {
        sharing_world world({ .seed = seed, .leavingCallers = 0.3, .usesOneEntry = true, .kinds = ledgerKinds() });
        burst(world, 10s, 16s);
        world.runUntil(28s);
        cr_expect_leq(world.longestPlaceOfGone(), duration(100ms));
        cr_expect_eq(world.sentTooLate(), 0U);
        cr_expect_eq(world.waitingNow(), 0U);
    }
}

// Guards against a full queue that outlasts its forecast when half of the engines go: those that wait are refused in time, as not run.
Test(room_callers, whose_queue_is_full_when_the_capacity_halves_are_answered_in_time)
{
    for (std::uint64_t seed = 1; seed <= worldSeeds; ++seed) {
        sharing_world world({ .seed = seed, .usesOneEntry = true, .kinds = ledgerKinds() });
        burst(world, 10s, 16s);
        world.at(13s, [&] { world.removeEngines(18); });
        world.runUntil(28s);
        cr_expect_gt(world.mostWaiting(), 0U);
        cr_expect_leq(world.mostWaiting(), waiting_requests::maxRequests);
        cr_expect_leq(world.mostReturning(), returning_requests::maxRequests);
        cr_expect_leq(world.longestOvertaken(), duration(300ms));
        cr_expect_eq(world.falseNotRun(), 0U);
        cr_expect_geq(world.results(13s, 16s, 0).servedFraction(), world.results(13s, 16s, 2).servedFraction());
    }
}

// Guards against shares that depend on every entry: one is cut off from the others, frozen, or restarted in the burst.
Test(room_callers, of_an_entry_that_is_cut_off_frozen_or_restarted_keep_the_order)
{
    double onTime = 0;
    double least = 1;
    for (std::uint64_t seed = 1; seed <= worldSeeds; ++seed) {
        sharing_world world({ .seed = seed, .zones = 3, .datagramLoss = 0.1, .kinds = ledgerKinds() });
        world.at(10s, [&] { world.setRate(2, 100); });
        world.at(16s, [&] { world.setRate(2, 20); });
        world.at(11s, [&] { world.cutEntry(0, 4s); });
        world.at(12s, [&] { world.freezeEntry(4, 1s); });
        world.at(13s, [&] { world.restartEntry(8); });
        world.runUntil(28s);
        onTime += world.results(13500ms, 16s, 0).onTimeFraction() / worldSeeds;
        least = std::min(least, world.results(13500ms, 16s, 0).servedFraction());
        cr_expect_eq(world.sentTooLate(), 0U);
        cr_expect_eq(world.falseNotRun(), 0U);
        cr_expect_eq(world.waitingNow(), 0U);
    }
    cr_expect_geq(onTime, 0.9, "rank 0 on time %.3f", onTime);
    cr_expect_geq(least, 0.95, "rank 0 served %.3f", least);
}

// Guards against reports that grow with the fleet: an entry gets those of its own zone, and one a zone of the others.
Test(room_callers, are_reported_within_the_zone_only)
{
    sharing_world world({ .entries = 18, .zones = 3, .kinds = ledgerKinds() });
    burst(world, 10s, 16s);
    world.runUntil(16s);
    // From the fifth second on at the most: 5 other entries of the zone and the sums of 2 zones, five times a second; the reader
    // gets no sum twice.
    for (std::size_t entry = 0; entry < 18; ++entry) {
        cr_expect_leq(world.demandDatagrams(entry), static_cast<std::size_t>(15 * 5 * (5 + 2)));
        cr_expect_gt(world.demandDatagrams(entry), 0U);
        cr_expect_leq(world.demandBytes(entry), 400 * world.demandDatagrams(entry));
    }
}
