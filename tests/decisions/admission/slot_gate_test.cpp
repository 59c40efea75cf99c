#include "decisions/admission/slot_gate.h"

#include <criterion/criterion.h>

using namespace appleramp;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint32_t warmSlots = 8;
constexpr std::uint32_t warmAfter = 3;
constexpr auto lifetime = seconds(2);

// A slot_gate with a healthy endpoint, and the latest grant that each entry has received.
struct gate_fixture {
    slot_gate gate { { warmSlots, 1, lifetime, warmAfter } };
    instant now { seconds(100) };
    call_number lastCall = 0;
    std::map<link_number, slot_grant> grants;

    gate_fixture() { gate.updateEndpointReport({ true, "boot-1", 0, 0 }); }

    void deliver()
    {
        for (const auto& [link, grant] : gate.updateGrants(now))
            grants[link] = grant;
    }
    void join(link_number link)
    {
        gate.addEntry(link, now);
        deliver();
    }
    void demand(link_number link, std::uint32_t waiting, std::uint32_t spare = 0)
    {
        gate.updateDemand(link, { waiting, spare, grants[link].sequence }, now);
        deliver();
    }
    call_number start(link_number link)
    {
        gate.callStarted(++lastCall, link, now);
        return lastCall;
    }
    void runOne(link_number link, duration firstToken)
    {
        const auto call = start(link);
        now += firstToken;
        gate.firstTokenArrived(call, now);
        gate.callCompleted(call);
    }
    void warmUp(link_number link)
    {
        while (gate.isCold())
            runOne(link, milliseconds(40));
        deliver();
    }
    std::uint32_t granted()
    {
        std::uint32_t sum = 0;
        for (const auto& [link, grant] : grants)
            sum += grant.slots;
        return sum;
    }
};

} // namespace

Test(slot_gate, ramps_a_cold_endpoint_by_completions)
{
    gate_fixture fixture;
    fixture.join(1);
    for (std::uint32_t completion = 0; completion < warmAfter; ++completion) {
        cr_assert_eq(fixture.gate.capacity(), 1U);
        fixture.runOne(1, milliseconds(40));
    }
    cr_assert_eq(fixture.gate.capacity(), 2U);
    fixture.runOne(1, milliseconds(40));
    cr_assert_eq(fixture.gate.capacity(), 2U);
    fixture.runOne(1, milliseconds(40));
    cr_assert_eq(fixture.gate.capacity(), 4U);
}

Test(slot_gate, never_grants_more_than_the_capacity)
{
    gate_fixture fixture;
    for (link_number link = 1; link <= 20; ++link)
        fixture.join(link);
    fixture.warmUp(1);
    // The first round reduces grants; in the next ones the entries acknowledge the reductions.
    for (int round = 0; round < 4; ++round) {
        for (link_number link = 1; link <= 20; ++link) {
            fixture.demand(link, 5, 2);
            cr_assert_leq(fixture.granted(), warmSlots);
            cr_assert_leq(fixture.gate.heldSlots(fixture.now), warmSlots);
        }
    }
    cr_assert_eq(fixture.granted(), warmSlots);
}

Test(slot_gate, gives_a_slot_on_only_when_its_holder_knows_that_it_is_cut)
{
    gate_fixture fixture;
    fixture.join(1);
    fixture.join(2);
    fixture.warmUp(1);
    fixture.demand(1, warmSlots);
    cr_assert_eq(fixture.grants[1].slots, warmSlots);
    const auto known = fixture.grants[1].sequence;
    // The first entry no longer wants its slots, but has not acknowledged the smaller grant yet.
    fixture.gate.updateDemand(1, { 0, 0, known }, fixture.now);
    fixture.demand(2, 3);
    cr_assert_eq(fixture.grants[2].slots, 0U);
    cr_assert_eq(fixture.grants[1].slots, 0U);
    fixture.demand(1, 0);
    cr_assert_eq(fixture.grants[2].slots, 3U);
}

Test(slot_gate, takes_slots_back_from_an_entry_that_vanished)
{
    gate_fixture fixture;
    fixture.join(1);
    fixture.join(2);
    fixture.warmUp(1);
    fixture.demand(1, warmSlots);
    // The first entry sends nothing more; the second keeps sending its demand.
    for (int step = 0; step < 60; ++step) {
        fixture.now += milliseconds(250);
        fixture.demand(2, 4);
    }
    cr_assert_geq(fixture.grants[2].slots, 4U);
}

Test(slot_gate, counts_a_running_attempt_until_it_ends_although_its_entry_left)
{
    gate_fixture fixture;
    fixture.join(1);
    fixture.join(2);
    const auto call = fixture.start(1);
    fixture.gate.removeEntry(1);
    fixture.demand(2, 1);
    cr_assert_not(fixture.gate.admits(2, fixture.now));
    cr_assert_eq(fixture.grants[2].slots, 0U);
    fixture.gate.callCancelled(call);
    fixture.deliver();
    cr_assert(fixture.gate.admits(2, fixture.now));
    cr_assert_eq(fixture.grants[2].slots, 1U);
}

Test(slot_gate, turns_cold_on_each_sign)
{
    const auto afterWarmUp = [](auto sign) {
        gate_fixture fixture;
        fixture.join(1);
        fixture.warmUp(1);
        sign(fixture);
        return fixture.gate.capacity();
    };
    cr_expect_eq(afterWarmUp([](auto& fixture) { fixture.gate.updateEndpointReport({ true, "boot-2", 0, 0 }); }), 1U);
    cr_expect_eq(afterWarmUp([](auto& fixture) { fixture.gate.callFailed(fixture.start(1)); }), 1U);
    cr_expect_eq(afterWarmUp([](auto& fixture) { fixture.runOne(1, milliseconds(400)); }), 1U);
    cr_expect_eq(afterWarmUp([](auto& fixture) {
        fixture.start(1);
        fixture.now += milliseconds(400);
        fixture.gate.detectLateFirstTokens(fixture.now);
    }),
        1U);
    cr_expect_eq(afterWarmUp([](auto& fixture) {
        fixture.gate.setClosed(true);
        fixture.gate.setClosed(false);
    }),
        1U);
    cr_expect_eq(afterWarmUp([](auto& fixture) { fixture.runOne(1, milliseconds(60)); }), warmSlots);
}

Test(slot_gate, waits_until_work_of_an_earlier_agent_has_ended)
{
    gate_fixture fixture;
    fixture.gate = slot_gate({ warmSlots, 1, lifetime, warmAfter });
    fixture.join(1);
    fixture.gate.updateEndpointReport({ true, "boot-1", 3, 0 });
    fixture.demand(1, 1);
    cr_assert_not(fixture.gate.admits(1, fixture.now));
    fixture.gate.updateEndpointReport({ true, "boot-1", 0, 0 });
    fixture.deliver();
    cr_assert(fixture.gate.admits(1, fixture.now));
    fixture.start(1);
    // Requests of this agent itself do not block admission.
    fixture.gate.updateEndpointReport({ true, "boot-1", 1, 0 });
    cr_assert_eq(fixture.gate.openSlots(), 1U);
}

Test(slot_gate, admits_nothing_while_closed)
{
    gate_fixture fixture;
    fixture.join(1);
    fixture.demand(1, 1);
    fixture.gate.setClosed(true);
    fixture.deliver();
    cr_assert_not(fixture.gate.admits(1, fixture.now));
    cr_assert_eq(fixture.grants[1].slots, 0U);
}

Test(slot_gate, lets_entries_take_turns_when_there_is_one_slot)
{
    gate_fixture fixture;
    fixture.gate.callFailed(fixture.start(1));
    for (link_number link = 1; link <= 3; ++link)
        fixture.join(link);
    std::map<link_number, int> turns;
    for (int round = 0; round < 9; ++round) {
        for (link_number link : { 1, 2, 3, 1, 2, 3 })
            fixture.demand(link, 2);
        const auto holder = std::find_if(fixture.grants.begin(), fixture.grants.end(),
            [](const auto& item) { return item.second.slots > 0; });
        cr_assert(holder != fixture.grants.end());
        ++turns[holder->first];
        const auto call = fixture.start(holder->first);
        fixture.now += milliseconds(100);
        fixture.gate.callCancelled(call);
        fixture.deliver();
    }
    cr_assert_eq(turns.size(), 3U);
    for (const auto& [link, count] : turns)
        cr_expect_geq(count, 2);
}
