#include "decisions/entry/request_router.h"

#include "decisions/configuration/configuration_register.h"
#include "decisions/placement/endpoint_directory.h"
#include "model/enum_names.h"

#include <algorithm>
#include <cassert>

namespace appleramp {

namespace {

constexpr duration retryWhenBusy = std::chrono::seconds(1);
constexpr std::string_view requestOperation = "entry.request";
constexpr duration retryInProgress = std::chrono::milliseconds(500);

// Keys of different teams and services do not meet.
idempotency_key scopedKey(const service_request& request)
{
    return idempotency_key(request.team.str() + "/" + request.service.str() + "/" + request.key->str());
}

bool isRepeatable(const service_request& request, const fleet_configuration& configuration)
{
    const auto policy = configuration.services.find(request.service);
    if (policy == configuration.services.end())
        return false;
    const auto& routes = policy->second.repeatableRoutes;
    return std::any_of(routes.begin(), routes.end(),
        [&request](const auto& route) { return request.path.starts_with(route); });
}

} // namespace

void request_router::received(const entry_context& context, const request_received& event)
{
    const bool repeatable = isRepeatable(event.request, context.configuration.current());
    request_trace trace(event.request.traceparent, context.traceIds, context.now);
    if (!accept(context, event, repeatable, trace))
        return;
    auto& request = m_requests[event.number];
    request.number = event.number;
    request.request = event.request;
    request.request.repeatable = repeatable;
    request.trace = std::move(trace);
    request.deadline = context.now + event.request.timeout;
    m_deadlines.emplace(request.deadline, request.number);
    context.demands.used(request.request.service, context.now);
    if (event.request.key && !repeatable)
        request.boundKey = scopedKey(event.request);
    place(context, request);
}

bool request_router::accept(const entry_context& context, const request_received& event, bool repeatable,
    const request_trace& trace)
{
    const auto refuse = [&](std::uint16_t status, execution outcome, std::string reason, std::string detail) {
        problem answer { status, outcome, std::move(reason), std::move(detail), std::nullopt };
        context.decide(decision_kind::Refused, trace.subject(), answer.reason);
        context.effects.emplace_back(trace.end(requestOperation, answer.reason, context.now));
        context.effects.emplace_back(reply_problem { event.number, std::move(answer) });
        return false;
    };
    const auto& request = event.request;
    if (!repeatable && !request.key)
        return refuse(400, execution::NotRun, "key_required",
            "this route is non-repeatable: send an Idempotency-Key header");
    const bool configured = context.configuration.current().services.contains(request.service);
    if (!configured && !context.endpoints.serves(request.service))
        return refuse(404, execution::NotStarted, "unknown_service",
            "no model or service is named '" + request.service.str() + "'");
    if (m_requests.size() >= context.self.maxRequests)
        return refuse(503, request.key ? execution::NotStarted : execution::NotRun, "entry_full",
            "this entry holds as many requests as it may");
    return true;
}

void request_router::callerLeft(const entry_context& context, request_number number)
{
    const auto found = m_requests.find(number);
    if (found == m_requests.end())
        return;
    if (found->second.state == phase::Running)
        context.send(found->second.link, cancel_attempt { found->second.attempt });
    forget(context, number, "caller_left");
}

void request_router::reported(const entry_context& context, const attempt_report& message)
{
    const auto asking = std::find_if(m_requests.begin(), m_requests.end(), [&](const auto& item) {
        return item.second.state == phase::Asking && item.second.binding.attempt == message.attempt;
    });
    if (asking == m_requests.end())
        return;
    auto& request = asking->second;
    switch (message.state) {
    case attempt_state::NeverStarted:
        // The tombstone is the proof: take the key over from the standing row's version.
        request.mayHaveRun = false;
        place(context, request);
        return;
    case attempt_state::Completed:
        request.state = phase::Running;
        request.attempt = message.attempt;
        m_byAttempt[request.attempt] = request.number;
        request.answer = answer_assembler();
        context.send(request.link, resume_attempt { message.attempt, 0 });
        return;
    case attempt_state::Running:
        if (request.attempt == message.attempt) {
            // Its own attempt, asked after because the link was lost.
            request.state = phase::Running;
            context.send(request.link, resume_attempt { message.attempt, request.answer.nextFrame() });
            return;
        }
        fail(context, request.number,
            { 409, execution::NotStarted, "key_in_progress", "an earlier send of this key is running",
                retryInProgress });
        return;
    case attempt_state::Failed:
        fail(context, request.number,
            { 409, execution::Unknown, "key_unknown", "an earlier send of this key ended without an answer",
                std::nullopt });
        return;
    }
}

void request_router::answered(const entry_context& context, const response_head& frame)
{
    if (auto* request = findByAttempt(frame.attempt)) {
        request->answer.add(frame);
        passOn(context, *request);
    }
}

void request_router::answered(const entry_context& context, const response_body& frame)
{
    if (auto* request = findByAttempt(frame.attempt)) {
        request->answer.add(frame);
        passOn(context, *request);
    }
}

void request_router::answered(const entry_context& context, const response_end& frame)
{
    if (auto* request = findByAttempt(frame.attempt)) {
        request->answer.add(frame);
        passOn(context, *request);
    }
}

void request_router::passOn(const entry_context& context, routed_request& request)
{
    request.lastFrame = context.now;
    for (auto& frame : request.answer.takeReady()) {
        request.resumeAsked = false;
        if (auto* head = std::get_if<response_head>(&frame)) {
            request.headOut = true;
            context.effects.emplace_back(reply_head { request.number, head->status, std::move(head->headers) });
        } else {
            context.effects.emplace_back(
                reply_data { request.number, std::move(std::get<response_body>(frame).data) });
        }
    }
    if (request.answer.isWhole()) {
        context.effects.emplace_back(reply_end { request.number });
        context.decide(decision_kind::Completed, request.trace->subject(), "whole answer passed on");
        forget(context, request.number, nameOf(execution::Completed));
        return;
    }
    if (request.answer.isCorrupt()) {
        fail(context, request.number,
            { 502, execution::Completed, "answer_corrupt", "the answer's checksum does not agree", std::nullopt });
        return;
    }
    if (request.answer.hasGap() && !request.resumeAsked) {
        request.resumeAsked = true;
        context.send(request.link, resume_attempt { request.attempt, request.answer.nextFrame() });
    }
}

void request_router::platformReplied(const entry_context& context, const platform_replied& reply)
{
    const auto result = m_keys.replied(context, reply);
    if (!result)
        return;
    const auto found = m_requests.find(result->request);
    if (found != m_requests.end())
        keyResolved(context, found->second, *result);
}

void request_router::keyResolved(const entry_context& context, routed_request& request, const key_result& result)
{
    request.keyVersion = result.version;
    switch (result.outcome) {
    case key_result::kind::Bound:
        context.decide(decision_kind::KeyBound, request.trace->subject(), result.standing.endpoint.str());
        if (context.endpoints.find(request.link)) {
            start(context, request);
            return;
        }
        // Bound but never sent: this entry alone could have sent it, so that is the proof.
        request.holdsSlot = false;
        endAttempt(context, request, "agent_lost");
        request.state = phase::Releasing;
        m_keys.release(context, request.number, *request.boundKey, request.binding, request.keyVersion);
        return;
    case key_result::kind::Released:
        requeue(context, request);
        return;
    case key_result::kind::HeldByOther:
        askHolder(context, request, result);
        return;
    case key_result::kind::OtherContent:
        fail(context, request.number,
            { 422, execution::NotStarted, "key_reused", "this key stands for a request with other content",
                std::nullopt });
        return;
    case key_result::kind::StoreDown:
        fail(context, request.number,
            { 503, outcomeIfUnsent(request), "store_down", "the key can't be bound now; send the same key again",
                retryWhenBusy });
        return;
    }
}

void request_router::askHolder(const entry_context& context, routed_request& request, const key_result& result)
{
    returnSlot(context, request);
    endAttempt(context, request, "key_held");
    m_byAttempt.erase(request.attempt);
    const auto* holder = context.endpoints.findAgent(result.standing.agent, result.standing.agentLife);
    if (!holder) {
        context.decide(decision_kind::KeyUnknown, request.trace->subject(), "the holder's agent is not linked");
        fail(context, request.number,
            { 409, execution::Unknown, "key_unknown", "what became of an earlier send of this key is not known",
                retryWhenBusy });
        return;
    }
    request.state = phase::Asking;
    request.binding = result.standing;
    request.link = holder->link;
    context.send(holder->link, query_attempt { result.standing.attempt });
}

request_router::routed_request* request_router::findByAttempt(attempt_id attempt)
{
    const auto number = m_byAttempt.find(attempt);
    return number == m_byAttempt.end() ? nullptr : &m_requests.at(number->second);
}

void request_router::returnSlot(const entry_context& context, routed_request& request)
{
    if (request.holdsSlot)
        context.endpoints.returnSlot(request.link);
    request.holdsSlot = false;
}

void request_router::fail(const entry_context& context, request_number number, problem answer)
{
    auto& request = m_requests.at(number);
    const std::string reason = answer.reason;
    context.decide(decision_kind::Failed, request.trace->subject(), reason);
    if (request.headOut)
        context.effects.emplace_back(reply_aborted { number, std::move(answer) });
    else
        context.effects.emplace_back(reply_problem { number, std::move(answer) });
    forget(context, number, reason);
}

void request_router::endAttempt(const entry_context& context, routed_request& request, std::string_view outcome)
{
    if (auto span = request.trace->endAttempt(outcome, context.now))
        context.effects.emplace_back(std::move(*span));
}

void request_router::forget(const entry_context& context, request_number number, std::string_view outcome)
{
    auto& request = m_requests.at(number);
    returnSlot(context, request);
    leaveQueues(request);
    endAttempt(context, request, outcome);
    context.effects.emplace_back(request.trace->end(requestOperation, outcome, context.now));
    m_byAttempt.erase(request.attempt);
    m_requests.erase(number);
}

execution request_router::outcomeIfUnsent(const routed_request& request) const
{
    if (request.mayHaveRun)
        return execution::Unknown;
    // For a key only the holder of the proof may say that the order has not run.
    return request.request.key ? execution::NotStarted : execution::NotRun;
}

} // namespace appleramp
