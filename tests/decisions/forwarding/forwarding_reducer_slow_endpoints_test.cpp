// Attempts at endpoints that are silent or slow.
#include "decisions/forwarding/forwarding_entry.h"

#include <criterion/criterion.h>

using namespace appleramp;
using namespace appleramp::tests;

// Guards against leaving streams at a rank that turned slow while they ran, since its whole group waits for it (srv_slow of
// trouble-2).
Test(forwarding_reducer, streams_leave_an_endpoint_that_turns_slow_once)
{
    entry entry;
    entry.reportLoad(2, 0);
    entry.request("/draft/x");
    const std::string first = entry.effect<send_attempt>()->endpoint.str();
    const endpoint_load slow { endpoint(first, drafts).address, 2, 0, 5.0, true };
    entry.handle(endpoint_load_received { entry.now, slow });
    cr_assert_not_null(entry.effect<cancel_forwarded_request>());
    const auto* const again = entry.effect<send_attempt>();
    cr_assert_not_null(again);
    cr_assert_neq(again->endpoint.str(), first);
    // The request has no attempts left, so it stays at the second endpoint.
    entry.handle(endpoint_load_received { entry.now, { again->address, 2, 0, 5.0, true } });
    cr_assert_null(entry.effect<cancel_forwarded_request>());
}

// Guards against streams that leave a slow endpoint with nowhere to go, and are answered late, broken off, or never (CONFIG, LOST): the
// service seems to reject everything for a moment, so that whatever is sent has to wait.
Test(forwarding_reducer, a_stream_leaves_a_slow_endpoint_only_for_one_that_takes_it_at_once)
{
    entry entry;
    entry.reportLoad(2, 0);
    entry.request("/draft/x");
    constexpr request_number slowRequest = 1;
    const std::string first = entry.effect<send_attempt>()->endpoint.str();
    for (int request = 0; request < 3; ++request) {
        entry.now += 150ms;
        entry.reportLoad(2, 0);
        entry.request("/draft/y");
        entry.endAttempt(attempt_ending::Rejected);
    }
    // Longer than the backoff of an endpoint after a rejection.
    entry.now += 150ms;
    entry.reportLoad(2, 0);
    const endpoint_load slow { endpoint(first, drafts).address, 2, 0, 5.0, true };
    entry.handle(endpoint_load_received { entry.now, slow });
    cr_assert(!entry.hasTouched(slowRequest));
    // The service serves again.
    entry.request("/draft/z");
    entry.now += 150ms;
    entry.reportLoad(2, 0);
    entry.handle(stream_advanced { entry.now, entry.number(), std::nullopt });
    entry.handle(endpoint_load_received { entry.now, slow });
    const auto* const again = entry.effect<send_attempt>();
    cr_assert_not_null(again);
    cr_assert_eq(again->request, slowRequest);
    cr_assert_neq(again->endpoint.str(), first);
}

// Guards against answers that are given up for a silent endpoint before it is known that another one can take the request (LOST).
Test(forwarding_reducer, a_silent_attempt_is_replaced_where_another_endpoint_takes_it)
{
    entry entry;
    entry.reportLoad(2, 0);
    entry.request("/draft/x");
    const std::string first = entry.effect<send_attempt>()->endpoint.str();
    entry.handle(attempt_silent { entry.now, entry.number(), true });
    cr_assert_not_null(entry.effect<cancel_forwarded_request>());
    cr_assert_not_null(entry.effect<send_attempt>());
    cr_assert_neq(entry.effect<send_attempt>()->endpoint.str(), first);
    cr_assert_eq(entry.logged("attempt_ended")["ending"], "silent");
}

Test(forwarding_reducer, a_silent_attempt_goes_on_where_the_other_endpoints_are_full)
{
    entry entry;
    entry.reportLoad(12, 6);
    entry.request("/draft/x");
    entry.handle(attempt_silent { entry.now, entry.number(), true });
    cr_assert(!entry.hasTouched(entry.number()));
    cr_assert(!entry.logged("silent_attempt_kept").empty());
    // Said once while it lasts, and replaced as soon as there is room.
    entry.handle(attempt_silent { entry.now, entry.number(), true });
    cr_assert(entry.logged("silent_attempt_kept").empty());
    entry.now += 200ms;
    entry.reportLoad(2, 0);
    entry.handle(attempt_silent { entry.now, entry.number(), true });
    cr_assert_not_null(entry.effect<send_attempt>());
}

Test(forwarding_reducer, a_silent_attempt_goes_on_where_no_retry_is_left)
{
    entry entry;
    entry.reportLoad(2, 0);
    entry.useUpRetries("/draft/x");
    entry.reportLoad(2, 0);
    entry.request("/draft/x");
    cr_assert_not_null(entry.effect<send_attempt>());
    for (int report = 0; report < 3; ++report) {
        const std::size_t denied = entry.reducer().retryTotals().denied;
        entry.handle(attempt_silent { entry.now, entry.number(), true });
        cr_assert(!entry.hasTouched(entry.number()));
        cr_assert_eq(entry.reducer().retryTotals().denied - denied, report == 0 ? 1 : 0);
    }
    // Its answer comes after all.
    entry.handle(attempt_succeeded { entry.now, entry.number() });
    cr_assert_eq(entry.logged("answered")["sends"], "1");
}

Test(forwarding_reducer, a_silent_attempt_of_the_last_try_goes_on)
{
    entry entry;
    entry.reportLoad(2, 0);
    entry.request("/draft/x");
    entry.handle(attempt_silent { entry.now, entry.number(), false });
    cr_assert_not_null(entry.effect<send_attempt>());
    entry.handle(attempt_silent { entry.now, entry.number(), false });
    cr_assert(!entry.hasTouched(entry.number()));
}

// Guards against a refusal that promises that a request has not run, after an endpoint that was silent may have run it (REFUSED).
Test(forwarding_reducer, a_request_that_left_a_silent_endpoint_may_have_run)
{
    entry entry;
    entry.request("/read/x");
    entry.handle(attempt_silent { entry.now, entry.number(), false });
    cr_assert_not_null(entry.effect<send_attempt>());
    // The endpoint that takes over rejects it, and so does the first one when it is asked again.
    entry.endAttempt(attempt_ending::Rejected);
    cr_assert_not_null(entry.effect<send_attempt>());
    cr_assert_null(entry.effect<refuse_request>());
    entry.endAttempt(attempt_ending::Rejected);
    cr_assert_null(entry.effect<send_attempt>());
    cr_assert(entry.refusedWith(refusal_reason::OutcomeUnknown));
}

Test(forwarding_reducer, a_silent_attempt_goes_on_where_no_time_is_left_for_another)
{
    entry entry;
    entry.request("/read/x");
    entry.now += 7990ms;
    entry.handle(configuration_read { entry.now, entry.now, std::nullopt });
    entry.handle(attempt_silent { entry.now, entry.number(), false });
    cr_assert(!entry.hasTouched(entry.number()));
}

// Guards against answers that are given up shortly before the deadline for another attempt that can't be answered in time (LOST).
Test(forwarding_reducer, a_silent_attempt_goes_on_where_answers_take_longer_than_what_is_left)
{
    entry entry;
    entry.request("/read/x");
    entry.now += 1s;
    entry.handle(attempt_succeeded { entry.now, entry.number() });
    for (const duration timeLeft : { duration(700ms), duration(1300ms) }) {
        entry.request("/read/x");
        entry.now += 8s - timeLeft;
        entry.handle(configuration_read { entry.now, entry.now, std::nullopt });
        entry.handle(attempt_silent { entry.now, entry.number(), false });
        cr_assert_eq(entry.hasTouched(entry.number()), timeLeft > duration(1s));
    }
}

// Guards against requests that are sent with a key which may have been revoked meanwhile.
Test(forwarding_reducer, a_silent_attempt_goes_on_while_keys_are_unconfirmed)
{
    entry entry;
    entry.request("/read/x");
    entry.now += 7s;
    entry.handle(attempt_silent { entry.now, entry.number(), false });
    cr_assert(!entry.hasTouched(entry.number()));
    entry.handle(configuration_read { entry.now, entry.now, std::nullopt });
    entry.handle(attempt_silent { entry.now, entry.number(), false });
    cr_assert_not_null(entry.effect<send_attempt>());
}

// Guards against requests in flight that are counted twice or not at all when an attempt is replaced, late or at once.
Test(forwarding_reducer, a_replaced_attempt_leaves_one_request_in_flight)
{
    for (const bool isKeptFirst : { false, true }) {
        entry entry;
        entry.reportLoad(2, 0);
        for (int request = 0; request < 4; ++request)
            entry.request("/draft/x");
        if (isKeptFirst) {
            entry.reportLoad(12, 6);
            entry.handle(attempt_silent { entry.now, entry.number(), true });
            cr_assert(!entry.hasTouched(entry.number()));
            entry.reportLoad(2, 0);
        }
        entry.handle(attempt_silent { entry.now, entry.number(), true });
        cr_assert_not_null(entry.effect<send_attempt>());
        cr_assert_eq(entry.reducer().fleet().inFlight(drafts), 4);
    }
}

Test(forwarding_reducer, a_stream_that_left_a_slow_endpoint_is_in_flight_once)
{
    entry entry;
    entry.reportLoad(2, 0);
    entry.request("/draft/x");
    const std::string first = entry.effect<send_attempt>()->endpoint.str();
    entry.handle(endpoint_load_received { entry.now, { endpoint(first, drafts).address, 2, 0, 5.0, true } });
    cr_assert_not_null(entry.effect<send_attempt>());
    cr_assert_eq(entry.reducer().fleet().inFlight(drafts), 1);
}

Test(forwarding_reducer, what_may_not_be_repeated_stays_at_a_slow_endpoint)
{
    entry entry;
    entry.request("/post/x");
    const std::string at = entry.effect<send_attempt>()->endpoint.str();
    entry.handle(endpoint_load_received { entry.now, { endpoint(at, ledger).address, 2, 0, 9.0, true } });
    cr_assert_null(entry.effect<cancel_forwarded_request>());
}

// Guards against sending a waiting request twice: it was sent at once when the endpoint that had rejected it reported that
// it is slow, and again when its wait was over. Found by reading the code.
Test(forwarding_reducer, a_request_that_waits_does_not_leave_a_slow_endpoint)
{
    entry entry;
    for (int request = 0; request < 3; ++request) {
        entry.now += 150ms;
        entry.reportLoad(1, 0);
        entry.request("/draft/x");
        entry.endAttempt(attempt_ending::Rejected);
    }
    cr_assert_not_null(entry.effect<wait_for_service>());
    for (const char* name : { "d1", "d2" }) {
        // Longer than the backoff of an endpoint after a rejection.
        entry.now += 150ms;
        entry.reportLoad(1, 0);
        entry.handle(endpoint_load_received { entry.now, { endpoint(name, drafts).address, 1, 0, 5.0, true } });
        cr_assert_null(entry.effect<send_attempt>());
        cr_assert_null(entry.effect<cancel_forwarded_request>());
    }
}
