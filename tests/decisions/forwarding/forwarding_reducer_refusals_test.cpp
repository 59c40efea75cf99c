// What callers are told of requests that no endpoint answers.
#include "decisions/forwarding/forwarding_entry.h"

#include <criterion/criterion.h>

using namespace appleramp;
using namespace appleramp::tests;

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
        entry.handle(deadline_passed { entry.now, entry.number(), false });
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

// An unknown key may belong to a team that could not be read, so that 401 would turn away a proper request for good.
Test(forwarding_reducer, an_unknown_key_is_not_ready_where_a_team_is_unreadable)
{
    entry entry;
    entry.request("/read/x", "other");
    cr_assert(entry.refusedWith(refusal_reason::UnknownKey));
    routing_configuration configuration = configurationOf(2);
    configuration.unreadableTeams = 1;
    entry.handle(configuration_read { entry.now, entry.now, configuration });
    entry.request("/read/x", "other");
    cr_assert(entry.refusedWith(refusal_reason::NotReady));
    cr_assert(entry.effect<refuse_request>()->retryAfter > duration::zero());
    entry.request("/read/x");
    cr_assert_not_null(entry.effect<send_attempt>());
}
