#include "decisions/forwarding/endpoint_fleet.h"

#include <criterion/criterion.h>

using namespace appleramp;
using namespace std::chrono_literals;

namespace {

const service_id service("service");
const availability_zone_id zone("a");
const endpoint_id target("e1");

endpoint_record record(duration coldFor = {}) { return { target, service, "10.0.0.1:80", zone, 6, false, coldFor, 1 }; }

endpoint_fleet pacedFleet()
{
    endpoint_fleet fleet({ .isPaced = true });
    fleet.addOrUpdate(instant(1s), record());
    return fleet;
}

placement_query query(duration now) { return { .now = instant(now), .service = service, .zone = zone, .coldRequestsPerSecond = 26 }; }

// The reason that is stated at that time; empty if there is none.
std::string reasonAt(endpoint_fleet& fleet, duration now)
{
    fleet.updateRestrictions(instant(now));
    const auto views = fleet.restrictions();
    return views.empty() ? "" : std::string(nameOf(views.front().restriction.reason));
}

// Uses the endpoint until its ramp is over.
duration recover(endpoint_fleet& fleet, duration now)
{
    for (const duration end = now + 2s; now < end; now += 25ms) {
        fleet.recordDemand(instant(now), service);
        fleet.choose(query(now));
        fleet.updateRestrictions(instant(now));
    }
    return now;
}

} // namespace

// Guards against an endpoint that takes less than its peers while nothing says why.
Test(endpoint_restriction, states_each_reason_and_its_end)
{
    endpoint_fleet fleet = pacedFleet();
    cr_assert_eq(reasonAt(fleet, 2s), "");
    fleet.setZonesOutOfService(instant(3s), { zone });
    cr_assert_eq(reasonAt(fleet, 3s), "zone_out");
    fleet.setZonesOutOfService(instant(4s), {});
    cr_assert_eq(reasonAt(fleet, 4s), "ramp");
    duration now = recover(fleet, 4s);
    cr_assert_eq(reasonAt(fleet, now), "");
    fleet.pause(target, instant(now + 1s));
    cr_assert_eq(reasonAt(fleet, now + 100ms), "paused");
    cr_assert_eq(reasonAt(fleet, now + 1s), "ramp");
    now = recover(fleet, now + 1s);
    fleet.recordSend(instant(now), target);
    fleet.recordEnding(instant(now), target, attempt_ending::WrongEndpoint);
    cr_assert_eq(reasonAt(fleet, now + 100ms), "backoff");
    cr_assert(!fleet.choose(query(now + 100ms)));
    now = recover(fleet, now + 2s);
    fleet.markOutlier(target, instant(now + 1s));
    cr_assert_eq(reasonAt(fleet, now + 100ms), "outlier");
    cr_assert(!fleet.choose(query(now + 100ms)));
    now = recover(fleet, now + 1s);
    fleet.recordLimit(instant(now), target, instant(now), request_limit { 2 });
    cr_assert_eq(reasonAt(fleet, now + 100ms), "named_limit");
    fleet.recordLimit(instant(now + 1s), target, instant(now + 1s), no_limit {});
    cr_assert_eq(reasonAt(fleet, now + 5s), "ramp");
    now = recover(fleet, now + 5s);
    fleet.addOrUpdate(instant(now), record(5s));
    cr_assert_eq(reasonAt(fleet, now), "ramp");
    now = recover(fleet, now);
    cr_assert_eq(reasonAt(fleet, now), "cold");
    cr_assert_eq(reasonAt(fleet, now + 5s), "");
    fleet.recordLeaving(instant(now + 6s), target);
    cr_assert_eq(reasonAt(fleet, now + 6s), "leaving");
}

// Guards against changes that are logged twice or not at all.
Test(endpoint_restriction, changes_are_told_once)
{
    endpoint_fleet fleet = pacedFleet();
    fleet.pause(target, instant(3s));
    const auto began = fleet.updateRestrictions(instant(2s));
    cr_assert_eq(began.size(), 1);
    cr_assert(!began.front().hasEnded);
    cr_assert(began.front().restriction.until == instant(3s));
    cr_assert(fleet.updateRestrictions(instant(2500ms)).empty());
    const auto ended = fleet.updateRestrictions(instant(3s));
    cr_assert_eq(ended.size(), 2);
    cr_assert(ended.front().hasEnded && ended.front().restriction.since == instant(2s));
    cr_assert(ended.back().restriction.reason == restriction_reason::Ramp);
}

// Guards against entries that hold all endpoints for started ones because they have started themselves.
Test(endpoint_restriction, a_starting_entry_takes_the_endpoints_that_it_finds_as_recovered)
{
    endpoint_fleet fleet = pacedFleet();
    cr_assert_eq(fleet.paceTotals().starts, 0);
    endpoint_record later = record();
    later.id = endpoint_id("e2");
    later.address = "10.0.0.2:80";
    later.startedAtMs = 2;
    fleet.addOrUpdate(instant(5s), later);
    cr_assert_eq(fleet.paceTotals().starts, 1);
}

// Guards against more requests for a recovering endpoint that has answered none: one that is silent, and is not given up, still has its
// request.
Test(endpoint_restriction, a_silent_attempt_is_still_awaited)
{
    endpoint_fleet fleet = pacedFleet();
    fleet.pause(target, instant(2s));
    fleet.updateRestrictions(instant(2s));
    duration now = 2s;
    // The share of one entry among eight is one request.
    const auto mayGet = [&] {
        placement_query shared = query(now);
        shared.entryCount = 8;
        return fleet.choose(shared).has_value();
    };
    cr_assert(mayGet());
    fleet.recordSend(instant(now), target);
    now += 1200ms;
    cr_assert(!mayGet());
    fleet.recordSilence(instant(now), target);
    now += 1200ms;
    cr_assert(!mayGet());
    fleet.recordCancellation(target);
    cr_assert(mayGet());
}
