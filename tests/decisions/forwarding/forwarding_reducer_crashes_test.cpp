// Requests under which endpoints die.
#include "decisions/forwarding/forwarding_entry.h"

#include <criterion/criterion.h>

using namespace appleramp;
using namespace appleramp::tests;

// Guards against a request that crashes each endpoint that runs it, and that its caller sends again.
Test(forwarding_reducer, a_request_under_which_two_endpoints_died_is_refused)
{
    entry entry;
    const suspect_key key { suspect_kind::Request, 77 };
    entry.handle(crash_records_received { entry.now, { { .key = key, .deaths = { { 1, 1s } } } } });
    entry.request("/read/x");
    cr_assert_not_null(entry.effect<send_attempt>());
    entry.handle(crash_records_received { entry.now, { { .key = key, .deaths = { { 2, 0s } } } } });
    entry.request("/read/x");
    cr_assert(entry.refusedWith(refusal_reason::BreaksEndpoints));
}

// Guards against blocking a request only because of connection resets, as from an endpoint that fails some requests.
Test(forwarding_reducer, a_breakdown_is_told_only_when_the_endpoint_is_down)
{
    entry entry;
    entry.request("/read/x");
    const auto broken = entry.effect<send_attempt>()->endpoint;
    entry.endAttempt(attempt_ending::NoAnswer);
    entry.handle(timer_ticked { entry.now });
    cr_assert_null(entry.effect<share_crash_records>());
    entry.handle(endpoint_unlisted { entry.now, broken });
    entry.handle(timer_ticked { entry.now });
    cr_assert_not_null(entry.effect<share_crash_records>());
}

// Guards against accusing streams that their endpoint had begun to answer when it died of another request.
Test(forwarding_reducer, a_stream_that_was_being_answered_is_not_suspected)
{
    entry entry;
    entry.request("/draft/x");
    const auto broken = entry.effect<send_attempt>()->endpoint;
    entry.streamEvents(50ms, 2);
    entry.handle(endpoint_probed { entry.now, broken, true });
    entry.endAttempt(attempt_ending::TruncatedAnswer, true);
    entry.handle(timer_ticked { entry.now });
    cr_assert_null(entry.effect<share_crash_records>());
}

// Guards against suspecting requests that find their endpoint dead.
Test(forwarding_reducer, a_request_that_a_dead_endpoint_refused_is_not_suspected)
{
    entry entry;
    entry.request("/read/x");
    entry.handle(attempt_ended { entry.now, 1, attempt_ending::NotSent, false, {}, true });
    entry.handle(timer_ticked { entry.now });
    cr_assert_null(entry.effect<share_crash_records>());
}

// Guards against deaths that nobody sees: the endpoint has no agent, or its agent is frozen.
Test(forwarding_reducer, an_endpoint_whose_attempt_broke_is_probed)
{
    entry entry;
    entry.request("/read/x");
    const auto broken = entry.effect<send_attempt>()->endpoint;
    entry.endAttempt(attempt_ending::NoAnswer);
    const auto* const probe = entry.effect<probe_endpoint>();
    cr_assert_not_null(probe);
    cr_assert(probe->endpoint == broken);
    cr_assert_eq(probe->address, endpoint(broken.str(), ledger).address);
    entry.handle(endpoint_probed { entry.now, broken, false });
    cr_assert_null(entry.effect<share_crash_records>());
    entry.handle(endpoint_probed { entry.now, broken, true });
    cr_assert_not_null(entry.effect<share_crash_records>());
}

// Guards against the retry of a request that the end of its attempt convicts.
Test(forwarding_reducer, a_convicted_request_is_not_sent_again)
{
    entry entry;
    entry.handle(crash_records_received { entry.now, { { .key = { suspect_kind::Request, 77 }, .deaths = { { 1, 3s } } } } });
    entry.request("/read/x");
    entry.handle(endpoint_probed { entry.now, entry.effect<send_attempt>()->endpoint, true });
    entry.endAttempt(attempt_ending::NoAnswer);
    cr_assert_null(entry.effect<send_attempt>());
    cr_assert(entry.refusedWith(refusal_reason::OutcomeUnknown));
}

// Guards against a wave of repeats that takes an endpoint each before the first death is known to convict.
Test(forwarding_reducer, a_suspected_request_runs_alone)
{
    entry entry;
    entry.handle(crash_records_received { entry.now, { { .key = { suspect_kind::Request, 77 }, .deaths = { { 1, 1s } } } } });
    entry.request("/read/x");
    cr_assert_not_null(entry.effect<send_attempt>());
    entry.request("/read/x");
    cr_assert(entry.refusedWith(refusal_reason::SuspectRunning));
    cr_assert(entry.effect<refuse_request>()->retryAfter.has_value());
}

// Guards against a wrong conviction that stays in the store after a trial has refuted it.
Test(forwarding_reducer, a_refuted_conviction_leaves_the_store)
{
    entry entry;
    const suspect_key key { suspect_kind::Request, 77 };
    entry.handle(crash_table_read { entry.now, true, { { .key = key, .deaths = { { 1, 4s }, { 2, 1s } }, .convictedAge = 1s } }, {} });
    entry.request("/read/x");
    cr_assert(entry.refusedWith(refusal_reason::BreaksEndpoints));
    entry.now += crash_ledger::trialInterval;
    entry.handle(configuration_read { entry.now, entry.now, std::nullopt });
    entry.request("/read/x");
    cr_assert_not_null(entry.effect<send_attempt>());
    entry.handle(attempt_succeeded { entry.now, 2 });
    cr_assert_not_null(entry.effect<remove_stored_crash_record>());
    entry.request("/read/x");
    cr_assert_not_null(entry.effect<send_attempt>());
}

// Guards against an entry that serves before it has read what was convicted earlier.
Test(forwarding_reducer, an_entry_that_starts_waits_for_the_convictions)
{
    forwarding_reducer reducer(instant(10s), {});
    reducer.handle(entry_count_read { instant(10s), 1 });
    reducer.handle(configuration_read { instant(10s), instant(10s), configurationOf(1) });
    reducer.handle(registry_read { instant(10s), { endpoint("d1", drafts) } });
    cr_assert_not(reducer.isReady(instant(11s)));
    reducer.handle(crash_table_read { instant(11s), true, {}, {} });
    cr_assert(reducer.isReady(instant(11s)));
}

// Guards against requests that were sent before the conviction and crash their endpoints after it.
Test(forwarding_reducer, requests_in_flight_end_when_they_are_convicted)
{
    entry entry;
    entry.request("/read/x");
    entry.handle(crash_records_received { entry.now, { { .key = { suspect_kind::Request, 77 }, .deaths = { { 1, 3s }, { 2, 0s } } } } });
    cr_assert_not_null(entry.effect<cancel_forwarded_request>());
    cr_assert(entry.refusedWith(refusal_reason::OutcomeUnknown));
}
