#include "decisions/forwarding/forwarding_reducer.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <map>

using namespace appleramp;
using namespace std::chrono_literals;

namespace {

const service_id drafts("drafts");
const service_id ledger("ledger");

route routeOf(const std::string& prefix, route_kind kind, const service_id& service, std::uint32_t attempts)
{
    route result;
    result.name = prefix;
    result.host = "a.example";
    result.prefix = prefix;
    result.kind = kind;
    result.resumable = kind == route_kind::Stream;
    result.services = { { service, 1 } };
    result.timeout = 8s;
    result.latencyTarget = 500ms;
    result.maxAttempts = attempts;
    return result;
}

routing_configuration configurationOf(configuration_version version)
{
    routing_configuration configuration;
    configuration.version = version;
    configuration.routes = { routeOf("/draft/", route_kind::Stream, drafts, 2),
        routeOf("/post/", route_kind::NonRepeatable, ledger, 1), routeOf("/read/", route_kind::Idempotent, ledger, 2) };
    configuration.teams = { { team_id("t1"), { "key" }, {} } };
    return configuration;
}

endpoint_record endpoint(const std::string& name, const service_id& service)
{
    return { endpoint_id(name), service, "10.0.0.1:" + name, availability_zone_id("a"), 12, false, {} };
}

// An entry at second 10 that knows a configuration and two endpoints of each service.
class entry {
public:
    entry()
        : m_reducer(instant {}, {})
    {
        handle(entry_count_read { now, 1 });
        handle(configuration_read { now, now, configurationOf(1) });
        handle(registry_read { now,
            { endpoint("d1", drafts), endpoint("d2", drafts), endpoint("l1", ledger), endpoint("l2", ledger) } });
    }

    void handle(const forwarding_event& event) { m_effects = m_reducer.handle(event); }

    void request(const std::string& path, const std::string& key = "key")
    {
        caller_request caller;
        caller.host = "a.example";
        caller.path = path;
        caller.sendId = "s1";
        caller.apiKey = key;
        caller.timeout = 8s;
        caller.contentHash = 77;
        handle(request_arrived { now, ++m_number, caller });
    }

    void reportLoad(std::uint32_t running, std::uint32_t waiting)
    {
        for (const char* name : { "d1", "d2" })
            handle(endpoint_load_received { now, { endpoint(name, drafts).address, running, waiting, 1.0, true } });
    }

    // Sends this many events to the stream of the latest request, each after the pause.
    void streamEvents(duration pause, int events)
    {
        for (int event = 0; event < events; ++event) {
            now += pause;
            handle(configuration_read { now, now, std::nullopt });
            handle(stream_advanced { now, m_number, event == 0 ? std::nullopt : std::optional(pause) });
        }
    }

    // Starts this many streams and returns how many were sent to an endpoint.
    int countAdmitted(int requests)
    {
        int admitted = 0;
        for (int request = 0; request < requests; ++request) {
            this->request("/draft/x");
            if (effect<send_attempt>() == nullptr)
                continue;
            ++admitted;
            handle(caller_disconnected { now, m_number });
        }
        return admitted;
    }

    request_number requestNumber() const { return m_number; }

    void rejectWithPause(duration pause) { handle(attempt_ended { now, m_number, attempt_ending::Rejected, false, pause }); }

    void endAttempt(attempt_ending ending, bool begun = false) { handle(attempt_ended { now, m_number, ending, begun, {} }); }

    template <typename Effect>
    const Effect* effect() const
    {
        const auto found = std::find_if(m_effects.begin(), m_effects.end(), [](const auto& each) { return std::holds_alternative<Effect>(each); });
        return found == m_effects.end() ? nullptr : &std::get<Effect>(*found);
    }

    // The inputs of the latest event's line of that name.
    std::map<std::string_view, std::string> logged(std::string_view what) const
    {
        std::map<std::string_view, std::string> inputs;
        for (const forwarding_effect& effect : m_effects) {
            if (const auto* const line = std::get_if<log_decision>(&effect); line != nullptr && line->what == what)
                inputs.insert(line->inputs.begin(), line->inputs.end());
        }
        return inputs;
    }

    bool refusedWith(refusal_reason reason) const
    {
        const auto* const refusal = effect<refuse_request>();
        return refusal != nullptr && refusal->reason == reason;
    }

    // The latest event cancelled the request's attempt, sent it, refused it or broke its answer off.
    bool hasTouched(request_number request) const
    {
        return std::any_of(m_effects.begin(), m_effects.end(), [request](const forwarding_effect& effect) {
            const auto concerns = [request](const auto* concrete) { return concrete != nullptr && concrete->request == request; };
            return concerns(std::get_if<cancel_forwarded_request>(&effect)) || concerns(std::get_if<send_attempt>(&effect))
                || concerns(std::get_if<refuse_request>(&effect)) || concerns(std::get_if<abort_answer>(&effect));
        });
    }

    // Lets requests fail until one is no longer sent again.
    void useUpRetries(const std::string& path)
    {
        constexpr int mostRequests = 200;
        for (int count = 0; count < mostRequests; ++count) {
            request(path);
            endAttempt(attempt_ending::FailureAnswer);
            if (effect<send_attempt>() == nullptr)
                return;
            endAttempt(attempt_ending::FailureAnswer);
        }
        cr_assert(false, "the retry budget does not end");
    }

    const forwarding_reducer& reducer() const { return m_reducer; }
    request_number number() const { return m_number; }

    instant now { 10s };

private:
    forwarding_reducer m_reducer;
    request_number m_number = 0;
    forwarding_effects m_effects;
};

} // namespace

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

Test(forwarding_reducer, a_non_repeatable_request_that_may_have_run_is_never_called_not_run)
{
    for (const auto ending : { attempt_ending::NoAnswer, attempt_ending::TruncatedAnswer, attempt_ending::InvalidAnswer, attempt_ending::UnprovenRefusal }) {
        entry entry;
        entry.request("/post/x");
        entry.endAttempt(ending);
        cr_assert_null(entry.effect<send_attempt>());
        cr_assert(entry.refusedWith(refusal_reason::OutcomeUnknown));
    }
}

namespace {

enum class final_event {
    None,
    Deadline,
    Stop,
};

struct request_outcome {
    // An attempt may have run, or was open at the final event.
    bool mayHaveRun = false;
    attempt_ending latestEnding = attempt_ending::NotSent;
};

// Lets the request's attempts end so, as far as there are any, and ends it then.
request_outcome endRequest(entry& entry, std::initializer_list<attempt_ending> endings, final_event last)
{
    request_outcome outcome;
    for (const attempt_ending ending : endings) {
        if (entry.effect<send_attempt>() == nullptr)
            break;
        entry.endAttempt(ending);
        outcome.mayHaveRun = outcome.mayHaveRun || executionStatusAfter(ending) != execution_status::NotRun;
        outcome.latestEnding = ending;
    }
    if (last == final_event::None)
        return outcome;
    outcome.mayHaveRun = outcome.mayHaveRun || entry.effect<send_attempt>() != nullptr;
    if (last == final_event::Deadline)
        entry.handle(deadline_passed { entry.now, entry.requestNumber(), false });
    else
        entry.handle(stop_reached { entry.now });
    return outcome;
}

} // namespace

// Guards against a promise that is not true: whatever one or two attempts end in, and whatever ends the request then, its caller is told
// "not executed" only if each attempt proved it, and a failure is passed on only if the last attempt brought one.
Test(forwarding_reducer, a_caller_is_told_not_executed_only_if_each_attempt_proves_it)
{
    constexpr attempt_ending endings[] { attempt_ending::NotSent, attempt_ending::Rejected, attempt_ending::WrongEndpoint, attempt_ending::NoAnswer,
        attempt_ending::TruncatedAnswer, attempt_ending::InvalidAnswer, attempt_ending::FailureAnswer, attempt_ending::UnprovenRefusal, attempt_ending::TimedOut };
    int refusals = 0;
    const auto check = [&refusals](const char* path, attempt_ending first, attempt_ending second, final_event last) {
        entry entry;
        entry.request(path);
        const request_outcome outcome = endRequest(entry, { first, second }, last);
        const auto* const refusal = entry.effect<refuse_request>();
        refusals += refusal != nullptr ? 1 : 0;
        const bool promises = refusal != nullptr && guaranteesNotExecuted(refusal->reason);
        cr_assert(!promises || !outcome.mayHaveRun, "%s %d %d", path, static_cast<int>(first), static_cast<int>(second));
        cr_assert(entry.effect<forward_failure_answer>() == nullptr || outcome.latestEnding == attempt_ending::FailureAnswer);
    };
    for (const char* path : { "/post/x", "/read/x", "/draft/x" }) {
        for (const attempt_ending first : endings) {
            for (const attempt_ending second : endings) {
                for (const final_event last : { final_event::None, final_event::Deadline, final_event::Stop })
                    check(path, first, second, last);
            }
        }
    }
    cr_assert_gt(refusals, 100);
}

Test(forwarding_reducer, a_rejected_non_repeatable_request_is_refused_with_a_time_to_return)
{
    entry entry;
    entry.request("/post/x");
    entry.endAttempt(attempt_ending::Rejected);
    cr_assert(entry.refusedWith(refusal_reason::NoCapacity));
    cr_assert(entry.effect<refuse_request>()->retryAfter.has_value());
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

// Guards against an endpoint's answer that is replaced by an error of ours, since no other endpoint takes the request now.
Test(forwarding_reducer, a_failure_answer_reaches_the_caller_where_no_other_endpoint_can_be_tried)
{
    entry entry;
    entry.handle(endpoint_unlisted { entry.now, endpoint_id("l2") });
    entry.request("/read/x");
    entry.endAttempt(attempt_ending::FailureAnswer);
    cr_assert_null(entry.effect<refuse_request>());
    cr_assert_not_null(entry.effect<forward_failure_answer>());
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

Test(forwarding_reducer, unknown_routes_and_keys_are_refused_only_with_fresh_knowledge)
{
    entry entry;
    entry.request("/nowhere/");
    cr_assert(entry.refusedWith(refusal_reason::UnknownRoute));
    entry.request("/read/x", "stolen");
    cr_assert(entry.refusedWith(refusal_reason::UnknownKey));
    entry.now += 4s;
    entry.request("/nowhere/");
    cr_assert(entry.refusedWith(refusal_reason::NotReady));
    entry.request("/read/x", "stolen");
    cr_assert(entry.refusedWith(refusal_reason::NotReady));
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

Test(forwarding_reducer, a_request_whose_caller_left_is_cancelled)
{
    entry entry;
    entry.request("/draft/x");
    entry.handle(caller_disconnected { entry.now, 1 });
    cr_assert_not_null(entry.effect<cancel_forwarded_request>());
    entry.handle(attempt_ended { entry.now, 1, attempt_ending::NoAnswer, false, {} });
    cr_assert_null(entry.effect<send_attempt>());
}

Test(forwarding_reducer, at_the_deadline_a_sent_request_is_called_timed_out_and_not_unrun)
{
    entry entry;
    entry.request("/post/x");
    entry.now += 8s;
    entry.handle(deadline_passed { entry.now, 1, false });
    cr_assert(entry.refusedWith(refusal_reason::TimedOut));
    cr_assert(!guaranteesNotExecuted(refusal_reason::TimedOut));
}

// Guards against adding streams to a full group with a slow rank: the pauses of all its streams already exceed their
// target, and each further stream makes them longer (srv_slow of trouble-3, scale-1 of hvk-invoicing-grown).
Test(forwarding_reducer, streams_are_refused_where_the_group_is_full_and_too_slow)
{
    entry entry;
    entry.request("/draft/x");
    entry.streamEvents(300ms, 100);
    entry.reportLoad(12, 3);
    cr_assert_eq(entry.countAdmitted(50), 0);
    cr_assert(entry.refusedWith(refusal_reason::NoCapacity));
    cr_assert(entry.effect<refuse_request>()->retryAfter.has_value());
    // A half-empty group is slow for another reason than load, and refusing streams would not help.
    entry.reportLoad(6, 0);
    cr_assert_eq(entry.countAdmitted(50), 50);
}

Test(forwarding_reducer, a_full_group_that_is_fast_enough_takes_all)
{
    entry entry;
    entry.request("/draft/x");
    entry.streamEvents(90ms, 100);
    entry.reportLoad(12, 0);
    cr_assert_eq(entry.countAdmitted(50), 50);
}

// Guards against sending streams to a stalled group. An agent froze while its rank was held, and the group stalled for
// seconds (node_freeze of trouble-2): streams sent there waited until their callers gave up, while callers that are refused
// with a Retry-After are served when they come back.
Test(forwarding_reducer, streams_are_refused_while_their_service_stands_still)
{
    entry entry;
    entry.reportLoad(2, 0);
    entry.request("/draft/x");
    entry.streamEvents(60ms, 10);
    entry.request("/draft/x");
    entry.request("/draft/x");
    entry.now += 800ms;
    entry.reportLoad(2, 0);
    cr_assert_eq(entry.countAdmitted(20), 0);
    cr_assert_geq(entry.effect<refuse_request>()->retryAfter->count(), duration(1500ms).count());
    // Other services are not affected.
    entry.request("/read/x");
    cr_assert_not_null(entry.effect<send_attempt>());
}

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

// With all endpoints paused a request is refused at once, with a time at which it can be served.
Test(forwarding_reducer, callers_come_back_after_the_pause_of_all_endpoints)
{
    entry entry;
    for (int request = 0; request < 2; ++request) {
        entry.request("/post/x");
        entry.rejectWithPause(3s);
        entry.now += 10ms;
    }
    entry.request("/post/x");
    cr_assert(entry.refusedWith(refusal_reason::NoCapacity));
    cr_assert(*entry.effect<refuse_request>()->retryAfter >= duration(2900ms));
    cr_assert(*entry.effect<refuse_request>()->retryAfter <= duration(5s));
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
