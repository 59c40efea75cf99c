#include "decisions/forwarding/forwarding_entry.h"

#include <criterion/criterion.h>

using namespace appleramp;
using namespace appleramp::tests;

Test(forwarding_reducer, a_request_goes_to_an_endpoint_of_its_service_with_its_team)
{
    entry entry;
    entry.request("/draft/x");
    const auto* const sent = entry.effect<send_attempt>();
    cr_assert_not_null(sent);
    cr_assert(sent->endpoint.str().starts_with("d"));
    cr_assert_eq(sent->team.str(), "t1");
    cr_assert(sent->timeLeft == duration(8s));
}

Test(forwarding_reducer, a_non_repeatable_request_never_meets_a_kept_connection)
{
    entry entry;
    entry.request("/post/x");
    cr_assert(entry.effect<send_attempt>()->requiresNewConnection);
    entry.request("/read/x");
    cr_assert(!entry.effect<send_attempt>()->requiresNewConnection);
}

Test(forwarding_reducer, an_unsent_request_goes_to_another_endpoint)
{
    entry entry;
    entry.request("/post/x");
    const auto first = entry.effect<send_attempt>()->endpoint;
    entry.endAttempt(attempt_ending::NotSent);
    cr_assert_not_null(entry.effect<send_attempt>());
    cr_assert(entry.effect<send_attempt>()->endpoint != first);
}

Test(forwarding_reducer, an_idempotent_request_is_repeated_elsewhere_and_not_more_often_than_allowed)
{
    entry entry;
    entry.request("/read/x");
    const auto first = entry.effect<send_attempt>()->endpoint;
    entry.endAttempt(attempt_ending::FailureAnswer);
    cr_assert_not_null(entry.effect<send_attempt>());
    cr_assert(entry.effect<send_attempt>()->endpoint != first);
    entry.endAttempt(attempt_ending::FailureAnswer);
    cr_assert_null(entry.effect<send_attempt>());
    cr_assert_not_null(entry.effect<forward_failure_answer>());
}

// Guards against retries over the budget that nobody can explain afterwards (BUDGET).
Test(forwarding_reducer, an_ended_attempt_says_what_the_retry_budget_was)
{
    entry entry;
    entry.request("/read/x");
    entry.endAttempt(attempt_ending::FailureAnswer);
    std::map<std::string_view, std::string> inputs = entry.logged("attempt_ended");
    cr_assert_eq(inputs["retry"], "granted");
    cr_assert_eq(inputs["retries_used"], "0");
    cr_assert_eq(inputs["entries"], "1");
    cr_assert_gt(std::stod(inputs["retries_allowed"]), 1);
}

Test(forwarding_reducer, a_broken_stream_is_resumed_and_a_second_time_broken_off)
{
    entry entry;
    entry.request("/draft/x");
    entry.endAttempt(attempt_ending::TruncatedAnswer, true);
    cr_assert_not_null(entry.effect<send_attempt>());
    entry.endAttempt(attempt_ending::TruncatedAnswer, true);
    cr_assert_not_null(entry.effect<abort_answer>());
}

// Guards against accepting a key that was revoked while the entry could not reach the store.
Test(forwarding_reducer, an_entry_that_is_cut_off_serves_no_key_beyond_the_bound)
{
    entry entry;
    entry.now += 4500ms;
    entry.request("/read/x");
    cr_assert_not_null(entry.effect<send_attempt>());
    entry.now += 300ms;
    entry.request("/read/x");
    cr_assert(entry.refusedWith(refusal_reason::NotReady));
}

Test(forwarding_reducer, a_repeat_counts_as_a_new_use_of_the_key)
{
    entry entry;
    entry.request("/read/x");
    entry.now += 4800ms;
    entry.endAttempt(attempt_ending::NoAnswer);
    cr_assert_null(entry.effect<send_attempt>());
}

Test(forwarding_reducer, configuration_never_goes_back)
{
    entry entry;
    auto newer = configurationOf(5);
    newer.routes.clear();
    entry.handle(configuration_read { entry.now, entry.now, newer });
    entry.handle(configuration_read { entry.now, entry.now, configurationOf(1) });
    entry.request("/read/x");
    cr_assert(entry.refusedWith(refusal_reason::UnknownRoute));
}

Test(forwarding_reducer, a_request_whose_caller_left_is_cancelled)
{
    entry entry;
    entry.request("/draft/x");
    entry.handle(caller_disconnected { entry.now, 1 });
    cr_assert_not_null(entry.effect<cancel_forwarded_request>());
    entry.handle(attempt_ended { entry.now, 1, attempt_ending::NoAnswer, false, {} });
    cr_assert_null(entry.effect<send_attempt>());
}

// Guards against requests that use up their attempts at once and are refused for good while a group re-forms after all
// engines lost power and rejects all requests for a second (closing fault of trouble-1).
Test(forwarding_reducer, requests_wait_for_a_service_that_rejects_all_for_a_moment)
{
    entry entry;
    for (int request = 0; request < 3; ++request) {
        entry.now += 150ms;
        entry.request("/draft/x");
        entry.endAttempt(attempt_ending::Rejected);
    }
    cr_assert_not_null(entry.effect<wait_for_service>());
    const instant until = entry.effect<wait_for_service>()->until;
    cr_assert_lt(until.time_since_epoch().count(), (entry.now + 500ms).time_since_epoch().count());
    // The group accepts requests again.
    entry.now = until;
    entry.handle(service_wait_ended { entry.now, 3 });
    entry.now += 600ms;
    entry.request("/draft/x");
    cr_assert_not_null(entry.effect<send_attempt>());
    entry.handle(stream_advanced { entry.now, 4, {} });
    entry.request("/draft/x");
    cr_assert_not_null(entry.effect<send_attempt>());
}

// Pattern: an engine leaves. Its answers say so before the registry does, or while the store is away.
Test(forwarding_reducer, an_endpoint_that_announces_that_it_leaves_gets_nothing_more)
{
    entry entry;
    entry.handle(endpoint_leaving_announced { entry.now, endpoint_id("l1") });
    for (int request = 0; request < 20; ++request) {
        entry.now += 200ms;
        entry.handle(configuration_read { entry.now, entry.now, std::nullopt });
        // The registry goes on listing it as ready.
        entry.handle(endpoint_listed { entry.now, endpoint("l1", ledger) });
        entry.request("/read/x");
        cr_assert_eq(entry.effect<send_attempt>()->endpoint.str(), "l2");
    }
    // With the other one gone too, nothing can be served, and callers hear so at once.
    entry.handle(endpoint_leaving_announced { entry.now, endpoint_id("l2") });
    entry.request("/read/x");
    cr_assert(entry.refusedWith(refusal_reason::NoCapacity));
}

Test(forwarding_reducer, an_agent_announces_the_leaving_of_its_own_engine_only)
{
    entry entry;
    endpoint_load load { endpoint("d1", drafts).address, 1, 0, 1.0, true };
    load.leaving = true;
    load.startedAtMs = 77;
    entry.handle(endpoint_load_received { entry.now, load });
    // Another incarnation than the one that is listed.
    bool usesFirst = false;
    for (int request = 0; request < 20; ++request) {
        entry.request("/draft/x");
        usesFirst = usesFirst || entry.effect<send_attempt>()->endpoint.str() == "d1";
    }
    cr_assert(usesFirst);
    load.startedAtMs = 0;
    entry.handle(endpoint_load_received { entry.now, load });
    for (int request = 0; request < 20; ++request) {
        entry.request("/draft/x");
        cr_assert_eq(entry.effect<send_attempt>()->endpoint.str(), "d2");
    }
}

// Pattern: an engine answers 503 with Retry-After. Requests go elsewhere; none reaches it before the time is over.
Test(forwarding_reducer, an_endpoint_that_asks_for_a_pause_gets_it)
{
    entry entry;
    entry.request("/read/x");
    const std::string paused = entry.effect<send_attempt>()->endpoint.str();
    entry.rejectWithPause(2s);
    const instant asked = entry.now;
    while (entry.now < asked + 1900ms) {
        entry.now += 100ms;
        entry.handle(configuration_read { entry.now, entry.now, std::nullopt });
        entry.request("/read/x");
        cr_assert_neq(entry.effect<send_attempt>()->endpoint.str(), paused);
        entry.handle(attempt_succeeded { entry.now, 1 });
    }
    bool resumed = false;
    for (int request = 0; request < 20; ++request) {
        entry.now = asked + 3s;
        entry.request("/read/x");
        resumed = resumed || entry.effect<send_attempt>()->endpoint.str() == paused;
    }
    cr_assert(resumed);
}

// Pattern: the store comes back from an older copy. What it holds then takes nothing back.
Test(forwarding_reducer, an_older_copy_of_the_store_revives_nothing)
{
    entry entry;
    entry.handle(configuration_read { entry.now, entry.now, configurationOf(2) });
    entry.handle(endpoint_unlisted { entry.now, endpoint_id("l1") });
    entry.now += 1s;
    entry.handle(registry_restored { entry.now });
    entry.handle(endpoint_listed { entry.now, endpoint("l1", ledger) });
    entry.handle(configuration_read { entry.now, entry.now, configurationOf(1) });
    for (int request = 0; request < 20; ++request) {
        entry.request("/read/x");
        cr_assert_eq(entry.effect<send_attempt>()->endpoint.str(), "l2");
    }
    // Reads of the older copy confirm nothing, so keys are refused once the last confirmation is too old.
    entry.now += 5s;
    entry.handle(configuration_read { entry.now, entry.now, std::nullopt });
    entry.request("/read/x");
    cr_assert(entry.refusedWith(refusal_reason::NotReady));
    entry.handle(configuration_read { entry.now, entry.now, configurationOf(2) });
    entry.request("/read/x");
    cr_assert_not_null(entry.effect<send_attempt>());
}
