#include "decisions/forwarding/forwarding_reducer.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <string>

using namespace appleramp;
using namespace std::chrono_literals;

namespace {

const service_id drafts("drafts");
constexpr duration callerTimeout = 8s;

routing_configuration configuration()
{
    route drafting;
    drafting.name = "drafting";
    drafting.host = "a.example";
    drafting.prefix = "/draft/";
    drafting.kind = route_kind::NonRepeatable;
    drafting.services = { { drafts, 1 } };
    drafting.timeout = callerTimeout;
    drafting.latencyTarget = 500ms;
    drafting.maxAttempts = 1;
    drafting.isPublic = true;
    routing_configuration result;
    result.version = 1;
    result.routes = { drafting };
    return result;
}

// An entry with one endpoint, asked to stop at `now`, with `timeLeft` from then on.
class stopping_entry {
public:
    explicit stopping_entry(duration timeLeft, forwarding_settings settings = {}, bool isReady = true)
        : m_reducer(now - 10s, std::move(settings))
        , m_timeLeft(timeLeft)
    {
        if (!isReady)
            return;
        handle(entry_count_read { now, 1 });
        handle(configuration_read { now, now, configuration() });
        handle(registry_read { now, { { endpoint_id("d1"), drafts, "10.0.0.1:1", availability_zone_id("a"), 12, false, {} } } });
    }

    void announceStop() { handle(stop_announced { now, now + m_timeLeft }); }

    void reachStop()
    {
        now += m_timeLeft;
        handle(stop_reached { now });
    }

    void request(duration timeout = callerTimeout)
    {
        caller_request caller;
        caller.host = "a.example";
        caller.path = "/draft/x";
        caller.sendId = "s1";
        caller.timeout = timeout;
        handle(request_arrived { now, ++m_number, caller });
    }

    void answerAfter(duration time)
    {
        request();
        now += time;
        handle(attempt_succeeded { now, m_number });
    }

    void handle(const forwarding_event& event) { m_effects = m_reducer.handle(event); }

    template <typename Effect>
    const Effect* effect() const
    {
        const auto found = std::find_if(m_effects.begin(), m_effects.end(), [](const auto& each) { return std::holds_alternative<Effect>(each); });
        return found == m_effects.end() ? nullptr : &std::get<Effect>(*found);
    }

    bool refusedWith(refusal_reason reason) const
    {
        const auto* const refusal = effect<refuse_request>();
        return refusal != nullptr && refusal->reason == reason;
    }

    std::size_t inFlight() const { return m_reducer.requestsInFlight(); }
    request_number number() const { return m_number; }

    instant now { 30s };

private:
    forwarding_reducer m_reducer;
    duration m_timeLeft;
    request_number m_number = 0;
    forwarding_effects m_effects;
};

} // namespace

// Guards against requests at an endpoint that end with the process and get no answer (LOST).
Test(stopping_entry, says_that_a_request_at_an_endpoint_may_have_run)
{
    stopping_entry entry(4s);
    entry.announceStop();
    entry.request();
    cr_assert_not_null(entry.effect<send_attempt>());
    entry.reachStop();
    cr_assert_not_null(entry.effect<cancel_forwarded_request>());
    cr_assert(entry.refusedWith(refusal_reason::OutcomeUnknown));
    cr_assert_eq(entry.inFlight(), 0);
}

// Guards against requests that wait at the entry and end with the process, though they did not run and could be sent elsewhere (LOST).
Test(stopping_entry, refuses_a_waiting_request_as_not_run)
{
    stopping_entry entry(1s);
    // Its service rejects everything for a moment.
    for (int count = 0; count < 3; ++count) {
        entry.request();
        entry.handle(attempt_ended { entry.now, entry.number(), attempt_ending::Rejected });
        entry.now += 150ms;
    }
    entry.request();
    cr_assert_not_null(entry.effect<wait_for_service>());
    entry.announceStop();
    entry.reachStop();
    cr_assert_null(entry.effect<cancel_forwarded_request>());
    cr_assert(entry.refusedWith(refusal_reason::Stopping));
    cr_assert(guaranteesNotExecuted(refusal_reason::Stopping));
    cr_assert(entry.effect<refuse_request>()->retryAfter.has_value());
    cr_assert_eq(entry.inFlight(), 0);
}

Test(stopping_entry, refuses_requests_that_wait_for_the_start)
{
    forwarding_settings settings;
    settings.longestStartWait = 3s;
    stopping_entry entry(1s, settings, false);
    entry.now -= 9s;
    entry.request();
    cr_assert_not_null(entry.effect<wait_for_service>());
    entry.announceStop();
    entry.reachStop();
    cr_assert(entry.refusedWith(refusal_reason::Stopping));
    cr_assert_eq(entry.inFlight(), 0);
}

// Guards against taking requests whose answers the rest of the grace period can't hold: their callers can still go elsewhere.
Test(stopping_entry, takes_no_request_of_a_service_that_is_too_slow)
{
    stopping_entry entry(4s);
    // One answer in many takes long.
    entry.answerAfter(3500ms);
    for (int count = 0; count < 20; ++count)
        entry.answerAfter(50ms);
    entry.announceStop();
    entry.request();
    cr_assert_not_null(entry.effect<send_attempt>());
    entry.now += 600ms;
    entry.request();
    cr_assert_null(entry.effect<send_attempt>());
    cr_assert(entry.refusedWith(refusal_reason::Stopping));
}

// As above, for answers that have taken too long already and are not finished.
Test(stopping_entry, takes_no_request_beside_one_that_waits_for_too_long)
{
    stopping_entry entry(4s);
    entry.request();
    entry.now += 3s;
    entry.announceStop();
    entry.request();
    cr_assert_not_null(entry.effect<send_attempt>());
    entry.now += 600ms;
    entry.request();
    cr_assert(entry.refusedWith(refusal_reason::Stopping));
}

// Guards against refusing requests whose own deadline comes before the end of the process: they end in time, whatever the service needs.
Test(stopping_entry, takes_a_request_whose_deadline_comes_before_the_stop)
{
    stopping_entry entry(4s);
    entry.answerAfter(6s);
    entry.announceStop();
    entry.request(1s);
    cr_assert_not_null(entry.effect<send_attempt>());
    entry.request();
    cr_assert(entry.refusedWith(refusal_reason::Stopping));
}
