#include "decisions/limits/endpoint_limits.h"
#include "decisions/limits/permit_queue.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace appleramp;
using namespace std::chrono_literals;

namespace {

const endpoint_id endpoint("i-1");
constexpr std::uint64_t firstStart = 1;

std::vector<std::string> namesOf(std::size_t entries)
{
    std::vector<std::string> names;
    for (std::size_t entry = 0; entry < entries; ++entry)
        names.push_back("entry-" + std::to_string(entry));
    return names;
}

endpoint_limits limitsOf(std::size_t entry, std::size_t entries)
{
    endpoint_limits limits;
    limits.setEntries("entry-" + std::to_string(entry), namesOf(entries));
    return limits;
}

bool state(endpoint_limits& limits, instant now, instant sentAt, const limit_statement& statement)
{
    return limits.recordStatement(now, endpoint, firstStart, sentAt, statement);
}

endpoint_limit_record told(double rate, bool isOver, duration age) { return { endpoint, firstStart, rate, isOver, age, age }; }

} // namespace

// Guards against entries that believe to own the same turn, and turns that nobody owns.
Test(turn_owners, give_each_request_of_a_turn_to_one_entry)
{
    for (const std::size_t entries : { 1UL, 2UL, 8UL, 48UL }) {
        std::vector<turn_owners> owners(entries);
        const auto names = namesOf(entries);
        for (std::size_t entry = 0; entry < entries; ++entry)
            owners[entry].setEntries(names[entry], names);
        for (const std::uint64_t requests : { 1UL, 3UL, 8UL, 100UL }) {
            for (std::uint64_t turn = 0; turn < 200; ++turn) {
                std::uint64_t sum = 0;
                for (const turn_owners& each : owners)
                    sum += each.ownRequests("i-1", turn, requests);
                cr_assert_eq(sum, requests);
            }
        }
    }
}

// Guards against shares that add up to much more where entries know different lists: one lacks an entry that the others know.
Test(turn_owners, differ_little_where_entries_know_different_lists)
{
    const auto names = namesOf(8);
    const auto shorter = namesOf(7);
    std::uint64_t sum = 0;
    for (std::size_t entry = 0; entry < 8; ++entry) {
        turn_owners owners;
        owners.setEntries(names[entry], entry % 2 == 0 ? names : shorter);
        for (std::uint64_t turn = 0; turn < 800; ++turn)
            sum += owners.ownRequests("i-1", turn, 1);
    }
    cr_assert_leq(sum, 800 * 12 / 10, "%lu", sum);
}

// Guards against an entry that takes every turn because it has not read yet who else there is.
Test(turn_owners, give_nothing_to_an_entry_that_knows_no_list)
{
    turn_owners owners;
    owners.setEntries("entry-0", {});
    cr_assert_eq(owners.ownRequests("i-1", 0, 100), 0);
}

Test(request_turns, have_the_length_of_their_requests)
{
    const request_turns slow(0.5, instant(10s));
    cr_assert_eq(slow.requestsPerTurn(), 1);
    cr_assert(slow.length() == duration(2s));
    cr_assert_eq(slow.turnAt(instant(9s)), 0);
    cr_assert_eq(slow.turnAt(instant(14s)), 2);
    const request_turns fast(40, instant(10s));
    cr_assert_eq(fast.requestsPerTurn(), 20);
    cr_assert(fast.length() == duration(500ms));
    cr_assert_gt(request_turns(1e6, instant(10s)).length().count(), 0);
}

// Guards against an answer that was begun before the limit was named, and that ends it.
Test(endpoint_limits, end_with_an_answer_to_a_later_request_only)
{
    endpoint_limits limits = limitsOf(0, 8);
    cr_assert(state(limits, instant(10s), instant(9s), request_limit { 2 }));
    cr_assert_not(state(limits, instant(11s), instant(9500ms), no_limit {}));
    cr_assert(limits.isLimited(instant(11s), endpoint));
    cr_assert(state(limits, instant(12s), instant(11s), no_limit {}));
    cr_assert(limits.isLimited(instant(12s), endpoint));
    cr_assert_not(limits.isLimited(instant(16s), endpoint));
}

// Guards against values that say nothing: they neither begin nor end a limit.
Test(endpoint_limits, hold_through_answers_that_say_nothing)
{
    endpoint_limits limits = limitsOf(0, 8);
    cr_assert_not(state(limits, instant(9s), instant(8s), unreadable_limit { "much" }));
    cr_assert_not(limits.isLimited(instant(9s), endpoint));
    state(limits, instant(10s), instant(9s), request_limit { 2 });
    cr_assert_not(state(limits, instant(12s), instant(11s), unreadable_limit { "much" }));
    cr_assert_not(state(limits, instant(12s), instant(11s), limit_not_stated {}));
    cr_assert(limits.isLimited(instant(12s), endpoint));
}

// Guards against a limit of zero that takes an endpoint out of use for good: a request now and then shows whether it holds.
Test(endpoint_limits, of_zero_leave_a_request_now_and_then)
{
    std::size_t sends = 0;
    for (std::size_t entry = 0; entry < 8; ++entry) {
        endpoint_limits limits = limitsOf(entry, 8);
        state(limits, instant(10s), instant(9s), request_limit { 0 });
        sends += limits.sendTimes(instant(10s), endpoint, instant(60s)).size();
    }
    cr_assert_eq(sends, 4);
}

// Guards against an endpoint that starts again at its address and id, and is held to the limit of the one before.
Test(endpoint_limits, concern_one_start_of_an_endpoint)
{
    endpoint_limits limits = limitsOf(0, 8);
    state(limits, instant(10s), instant(9s), request_limit { 2 });
    cr_assert(limits.recordStatement(instant(11s), endpoint, firstStart + 1, instant(10500ms), request_limit { 5 }));
    cr_assert_eq(*limits.currentRate(instant(11s), endpoint), 5);
    limits.forget(endpoint);
    cr_assert_not(limits.isLimited(instant(11s), endpoint));
}

// Guards against news that overtake each other: what the endpoint said last holds, in whatever order it is told.
Test(endpoint_limits, told_late_do_not_replace_newer_ones)
{
    endpoint_limits limits = limitsOf(0, 8);
    cr_assert(limits.recordTold(instant(20s), told(3, false, 1s)) == endpoint_limits::told_outcome::News);
    cr_assert(limits.recordTold(instant(20s), told(5, false, 4s)) == endpoint_limits::told_outcome::Outdated);
    cr_assert(limits.recordTold(instant(20s), told(3, true, 2s)) == endpoint_limits::told_outcome::Outdated);
    cr_assert_eq(*limits.currentRate(instant(20s), endpoint), 3);
    cr_assert(limits.recordTold(instant(21s), told(3, true, 1s)) == endpoint_limits::told_outcome::News);
    cr_assert(limits.recordTold(instant(22s), told(3, false, 4s)) == endpoint_limits::told_outcome::Outdated);
    cr_assert_not(limits.isLimited(instant(26s), endpoint));
}

// Guards against two entries that were told different limits at the same time and each keep to the higher one.
Test(endpoint_limits, named_at_the_same_time_hold_at_the_lower)
{
    for (const bool isLowerFirst : { true, false }) {
        endpoint_limits limits = limitsOf(0, 8);
        limits.recordTold(instant(20s), told(isLowerFirst ? 2 : 3, false, 50ms));
        limits.recordTold(instant(20s), told(isLowerFirst ? 3 : 2, false, 10ms));
        cr_assert_eq(*limits.currentRate(instant(20s), endpoint), 2);
    }
}

// Guards against a limit that changes with each answer, and gives a new turn each time.
Test(endpoint_limits, that_change_give_no_turn_at_once)
{
    endpoint_limits limits = limitsOf(0, 1);
    for (int change = 0; change < 20; ++change) {
        const instant now = instant(10s) + change * 100ms;
        state(limits, now, now - 50ms, request_limit { 1 + 0.01 * change });
        cr_assert_not(limits.allowsSend(now, endpoint));
    }
    cr_assert(limits.allowsSend(instant(14s), endpoint));
}

// Guards against a turn that is used more than once.
Test(endpoint_limits, allow_one_request_in_a_turn)
{
    endpoint_limits limits = limitsOf(0, 1);
    state(limits, instant(10s), instant(9s), request_limit { 1 });
    cr_assert(limits.allowsSend(instant(11500ms), endpoint));
    limits.recordSend(instant(11500ms), endpoint);
    cr_assert_not(limits.allowsSend(instant(11900ms), endpoint));
    cr_assert(limits.allowsSend(instant(12000ms), endpoint));
    const auto times = limits.sendTimes(instant(11900ms), endpoint, instant(14s));
    cr_assert_eq(times.size(), 2);
    cr_assert(times.front() == instant(12s));
}

// Guards against a request that is lent twice, or used by its owner as well.
Test(endpoint_limits, lend_a_request_once)
{
    endpoint_limits owner = limitsOf(0, 2);
    endpoint_limits asker = limitsOf(1, 2);
    state(owner, instant(10s), instant(9s), request_limit { 1 });
    asker.recordTold(instant(10s), *owner.record(instant(10s), endpoint));
    const auto before = owner.sendTimes(instant(10s), endpoint, instant(60s)).size();
    const auto found = asker.borrowableRequest(instant(10s), endpoint, instant(60s), 0);
    cr_assert(found.has_value());
    cr_assert_eq(found->owner, "entry-0");
    cr_assert(owner.lend(instant(10s), found->question));
    cr_assert_not(owner.lend(instant(10s), found->question));
    cr_assert_eq(owner.sendTimes(instant(10s), endpoint, instant(60s)).size(), before - 1);
    const auto borrowed = asker.sendTimes(instant(10s), endpoint, instant(60s)).size();
    asker.borrow(instant(10s), found->question);
    cr_assert_eq(asker.sendTimes(instant(10s), endpoint, instant(60s)).size(), borrowed + 1);
}

// Guards against requests of a turn that is over, of another limit or of an earlier start of the endpoint.
Test(endpoint_limits, lend_nothing_that_is_out_of_date)
{
    endpoint_limits owner = limitsOf(0, 1);
    state(owner, instant(10s), instant(9s), request_limit { 1 });
    cr_assert_not(owner.lend(instant(20s), { endpoint, firstStart, 1, 3, 0 }));
    cr_assert_not(owner.lend(instant(20s), { endpoint, firstStart, 2, 12, 0 }));
    cr_assert_not(owner.lend(instant(20s), { endpoint, firstStart + 1, 1, 12, 0 }));
    cr_assert_not(owner.lend(instant(20s), { endpoint, firstStart, 1, std::uint64_t { 1 } << 60U, 0 }));
    cr_assert(owner.lend(instant(20s), { endpoint, firstStart, 1, 12, 0 }));
    owner.borrow(instant(20s), { endpoint, firstStart, 1, 3, 0 });
    cr_assert_eq(owner.sendTimes(instant(20s), endpoint, instant(21s)).size(), 1);
}

// Guards against requests that are served before others that came earlier or are more urgent.
Test(permit_queue, serves_the_urgent_and_then_the_earliest_first)
{
    permit_queue queue;
    const service_id service("s");
    queue.add(service, 2, 7);
    queue.add(service, 1, 9);
    queue.add(service, 2, 8);
    cr_assert_eq(queue.countAhead(service, 1, 9), 0);
    cr_assert_eq(queue.countAhead(service, 2, 7), 1);
    cr_assert_eq(queue.countAhead(service, 2, 8), 2);
    cr_assert_eq(queue.countAhead(service, 0, 20), 0);
    cr_assert_eq(queue.countAhead(service_id("other"), 2, 8), 0);
    queue.remove(service, 1, 9);
    cr_assert_eq(queue.countAhead(service, 2, 7), 0);
    cr_assert_eq(queue.size(), 2);
}
