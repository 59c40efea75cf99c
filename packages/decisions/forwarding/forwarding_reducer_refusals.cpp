#include "decisions/forwarding/forwarding_reducer.h"

#include "decisions/forwarding/durations.h"

#include <string>

// The part of the reducer that ends requests without an endpoint's answer, or with its failure.

namespace appleramp {

std::string_view nameOf(refusal_reason reason)
{
    switch (reason) {
    case refusal_reason::NotReady:
        return "not_ready";
    case refusal_reason::UnknownRoute:
        return "unknown_route";
    case refusal_reason::UnknownKey:
        return "unknown_key";
    case refusal_reason::NoCapacity:
        return "no_capacity";
    case refusal_reason::BreaksEndpoints:
        return "breaks_endpoints";
    case refusal_reason::SuspectRunning:
        return "suspect_running";
    case refusal_reason::ExpiredBeforeRun:
        return "expired_unrun";
    case refusal_reason::OutcomeUnknown:
        return "outcome_unknown";
    case refusal_reason::Stopping:
        return "stopping";
    case refusal_reason::NoMemory:
        return "no_memory";
    case refusal_reason::TimedOut:
        break;
    }
    return "timed_out";
}

bool guaranteesNotExecuted(refusal_reason reason)
{
    return reason != refusal_reason::OutcomeUnknown && reason != refusal_reason::TimedOut;
}

void forwarding_reducer::finishFailedRequest(request_number number, const request_state& request, const attempt_ended& event)
{
    if (event.answerBegun) {
        m_effects.emplace_back(abort_answer { number });
        return;
    }
    if (event.ending == attempt_ending::FailureAnswer) {
        m_effects.emplace_back(forward_failure_answer { number });
        return;
    }
    if (request.mayHaveRun)
        return refuse(number, request, refusal_reason::OutcomeUnknown, {});
    refuse(number, request, refusal_reason::NoCapacity, event.retryAfter ? event.retryAfter : shortRetryAfter());
}

void forwarding_reducer::refusePlacement(
    request_number number, const request_state& request, refusal_reason reason, std::optional<duration> retryAfter)
{
    // The failure that an endpoint answered before is the outcome of the request.
    if (request.hasFailureAnswer) {
        m_effects.emplace_back(forward_failure_answer { number });
        m_effects.emplace_back(log_decision { "failure_forwarded", request.caller.sendId, { { "no_retry", std::string(nameOf(reason)) } } });
    } else
        refuse(number, request, reason, retryAfter);
    forget(number);
}

void forwarding_reducer::refuse(
    request_number number, const request_state& request, refusal_reason reason, std::optional<duration> retryAfter)
{
    // Whoever asks for it, a refusal promises "not executed" only for a request that no endpoint can have run.
    if (guaranteesNotExecuted(reason) && (request.mayHaveRun || !request.currentEndpoint.empty())) {
        reason = refusal_reason::OutcomeUnknown;
        retryAfter.reset();
    }
    m_effects.emplace_back(refuse_request { number, reason, retryAfter });
    log_decision line { "refused", request.caller.sendId, { { "reason", std::string(nameOf(reason)) } } };
    line.inputs.emplace_back("configuration", std::to_string(configurationVersion()));
    if (const auto age = m_freshness.age(m_now))
        line.inputs.emplace_back("configuration_age_ms", millisecondsText(*age));
    if (request.matchedRoute != nullptr)
        line.inputs.emplace_back("route", request.matchedRoute->name);
    if (!request.service.empty()) {
        line.inputs.emplace_back("service", request.service.str());
        line.inputs.emplace_back("sends", std::to_string(request.attempts));
        line.inputs.emplace_back("limited", std::to_string(m_fleet.limits().limitedCount(m_now)));
        line.inputs.emplace_back("fill", std::to_string(m_fleet.slotUtilization(m_now, request.service)));
        if (const auto pace = m_streamPaces.find(request.service); pace != m_streamPaces.end())
            line.inputs.emplace_back("pause_ms", millisecondsText(pace->second.meanPause()));
    }
    if (retryAfter)
        line.inputs.emplace_back("retry_after_ms", millisecondsText(*retryAfter));
    m_effects.emplace_back(std::move(line));
}

} // namespace appleramp
