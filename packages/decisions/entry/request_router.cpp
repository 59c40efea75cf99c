#include "decisions/entry/request_router.h"

#include "decisions/configuration/configuration_register.h"
#include "decisions/keys/key_scope.h"
#include "decisions/placement/endpoint_directory.h"
#include "model/enum_names.h"

#include <algorithm>
#include <cassert>

namespace appleramp {

namespace {

constexpr std::string_view requestOperation = "entry.request";
constexpr duration retryAfterInProgress = std::chrono::milliseconds(500);

bool isRepeatable(const service_request& request, const fleet_configuration& configuration)
{
    const auto policy = configuration.services.find(request.service);
    if (policy == configuration.services.end())
        return false;
    const auto& routes = policy->second.repeatableRoutes;
    return std::any_of(routes.begin(), routes.end(),
        [&request](const auto& route) { return isRepeatablePath(request.path, route); });
}

} // namespace

void request_router::requestReceived(const entry_context& context, const request_received& event)
{
    const bool repeatable = isRepeatable(event.request, context.configuration.current());
    request_trace trace(event.request.traceparent, context.traceIds, context.now);
    if (!admit(context, event, repeatable, trace))
        return;
    auto& request = m_requests[event.number];
    request.number = event.number;
    request.request = event.request;
    request.request.repeatable = repeatable;
    request.trace = std::move(trace);
    request.deadline = context.now + event.request.timeout;
    m_deadlines.emplace(request.deadline, request.number);
    context.demands.recordUse(request.request.service, context.now);
    if (!repeatable)
        request.issuedKey = decodeIssuedKey(*event.request.key, event.request.service);
    request.needsKeyBinding = !repeatable && !request.issuedKey;
    if (request.needsKeyBinding)
        m_keys.add(request.number, event.request);
    place(context, request);
}

bool request_router::admit(const entry_context& context, const request_received& event, bool repeatable,
    const request_trace& trace)
{
    const auto refuse = [&](std::uint16_t status, execution outcome, std::string reason, std::string detail) {
        problem answer { status, outcome, std::move(reason), std::move(detail), std::nullopt };
        context.recordDecision(decision_kind::Refused, trace.traceId(), answer.reason);
        context.effects.emplace_back(trace.end(requestOperation, answer.reason, context.now));
        context.effects.emplace_back(reply_problem { event.number, std::move(answer) });
        return false;
    };
    const auto& request = event.request;
    if (!repeatable && !request.key)
        return refuse(400, execution::NotRun, "key_required",
            "this route is non-repeatable: send an Idempotency-Key header");
    if (!repeatable && hasIssuedKeyPrefix(*request.key) && !decodeIssuedKey(*request.key, request.service))
        return refuse(400, execution::NotStarted, "key_invalid", "this is not a whole issued key of this service");
    const bool configured = context.configuration.current().services.contains(request.service);
    if (!configured && !context.endpoints.serves(request.service))
        return refuse(404, execution::NotStarted, "unknown_service",
            "no model or service is named '" + request.service.str() + "'");
    if (m_requests.size() >= context.identity.maxRequests)
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
    finishRequest(context, number, "caller_left");
}

void request_router::attemptReported(const entry_context& context, link_number link, const attempt_report& message)
{
    for (const auto& decision : m_keys.handleReport(link, message))
        applyKeyDecision(context, decision);
}

template <typename Frame>
void request_router::addFrame(const entry_context& context, const Frame& frame)
{
    const auto affected = m_requestsByAttempt.find(frame.attempt);
    if (affected == m_requestsByAttempt.end())
        return;
    for (const auto number : std::set<request_number>(affected->second)) {
        auto& request = m_requests.at(number);
        request.answer.add(frame);
        forwardFrames(context, request);
    }
}

void request_router::responseFrameReceived(const entry_context& context, const response_head& frame) { addFrame(context, frame); }
void request_router::responseFrameReceived(const entry_context& context, const response_body& frame) { addFrame(context, frame); }
void request_router::responseFrameReceived(const entry_context& context, const response_end& frame) { addFrame(context, frame); }

void request_router::forwardFrames(const entry_context& context, routed_request& request)
{
    request.lastFrameAt = context.now;
    for (auto& frame : request.answer.takeReadyFrames()) {
        request.resumeRequested = false;
        if (auto* head = std::get_if<response_head>(&frame)) {
            request.headSent = true;
            context.effects.emplace_back(reply_head { request.number, head->status, std::move(head->headers) });
        } else {
            context.effects.emplace_back(
                reply_data { request.number, std::move(std::get<response_body>(frame).data) });
        }
    }
    if (request.answer.isComplete()) {
        context.effects.emplace_back(reply_end { request.number });
        context.recordDecision(decision_kind::Completed, request.trace->traceId(), "whole answer passed on");
        finishRequest(context, request.number, nameOf(execution::Completed));
        return;
    }
    if (request.answer.isCorrupt()) {
        fail(context, request.number,
            { 502, execution::Completed, "answer_corrupt", "the answer's checksum does not agree", std::nullopt });
        return;
    }
    if (request.answer.hasGap() && !request.resumeRequested) {
        request.resumeRequested = true;
        context.send(request.link, resume_attempt { request.attempt, request.answer.nextFrame() });
    }
}

void request_router::platformReplied(const entry_context& context, const platform_replied& reply)
{
    if (const auto decision = m_keys.handleReply(context, reply))
        applyKeyDecision(context, *decision);
}

struct request_router::key_step_visitor {
    request_router& self;
    const entry_context& context;
    routed_request& request;

    void operator()(const dispatch_bound& /*step*/) const
    {
        context.recordDecision(decision_kind::KeyBound, request.trace->traceId(), "key bound to the attempt");
        self.sendAttempt(context, request);
    }
    void operator()(const retry_placement& step) const
    {
        self.returnSlot(context, request);
        self.endAttempt(context, request, "key_freed");
        request.mayHaveRun = false;
        if (step.isRetry)
            self.requeue(context, request);
        else
            self.place(context, request);
    }
    void operator()(const await_key_holder& step) const
    {
        self.returnSlot(context, request);
        self.endAttempt(context, request, "key_held");
        self.detachFromAttempt(request);
        request.state = phase::QueryingAgent;
        self.trackAgent(context, request, step.link);
    }
    void operator()(const replay_response& step) const
    {
        request.state = phase::Running;
        request.attempt = step.attempt;
        request.lastFrameAt = context.now;
        self.trackAgent(context, request, step.link);
        self.m_requestsByAttempt[step.attempt].insert(request.number);
        request.answer = response_assembler();
        context.send(step.link, resume_attempt { step.attempt, 0 });
    }
    void operator()(const attempt_running& step) const
    {
        if (self.receivesFramesOf(step.attempt, request)) {
            // This is the request's own attempt, queried because its link was lost.
            request.state = phase::Running;
            context.send(step.link, resume_attempt { step.attempt, request.answer.nextFrame() });
            return;
        }
        self.fail(context, request.number,
            { 409, execution::NotStarted, "key_in_progress", "an earlier send of this key is running",
                retryAfterInProgress });
    }
    void operator()(const end_request& step) const
    {
        if (step.answer.outcome == execution::Unknown)
            context.recordDecision(decision_kind::KeyUnknown, request.trace->traceId(), step.answer.detail);
        auto answer = step.answer;
        if (request.mayHaveRun && answer.outcome == execution::NotStarted)
            answer.outcome = execution::Unknown;
        self.fail(context, request.number, std::move(answer));
    }
};

void request_router::applyKeyDecision(const entry_context& context, const key_decision& decision)
{
    auto& request = m_requests.at(decision.number);
    std::visit(key_step_visitor { *this, context, request }, decision.step);
}

request_router::routed_request* request_router::findSender(attempt_id attempt, link_number link)
{
    const auto affected = m_requestsByAttempt.find(attempt);
    if (affected == m_requestsByAttempt.end())
        return nullptr;
    for (const auto number : affected->second) {
        auto& request = m_requests.at(number);
        if (request.holdsSlot && request.state == phase::Running && request.link == link)
            return &request;
    }
    return nullptr;
}

bool request_router::receivesFramesOf(attempt_id attempt, const routed_request& request) const
{
    const auto affected = m_requestsByAttempt.find(attempt);
    return affected != m_requestsByAttempt.end() && affected->second.contains(request.number);
}

void request_router::trackAgent(const entry_context& context, routed_request& request, link_number link)
{
    const auto* endpoint = context.endpoints.find(link);
    request.link = link;
    request.agent = endpoint ? endpoint->instance : instance_id();
    request.agentLife = endpoint ? endpoint->agentLife : 0;
}

void request_router::detachFromAttempt(routed_request& request)
{
    const auto affected = m_requestsByAttempt.find(request.attempt);
    if (affected == m_requestsByAttempt.end())
        return;
    affected->second.erase(request.number);
    if (affected->second.empty())
        m_requestsByAttempt.erase(affected);
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
    context.recordDecision(decision_kind::Failed, request.trace->traceId(), reason);
    if (request.headSent)
        context.effects.emplace_back(reply_aborted { number, std::move(answer) });
    else
        context.effects.emplace_back(reply_problem { number, std::move(answer) });
    finishRequest(context, number, reason);
}

void request_router::endAttempt(const entry_context& context, routed_request& request, std::string_view outcome)
{
    if (auto span = request.trace->endAttempt(outcome, context.now))
        context.effects.emplace_back(std::move(*span));
}

void request_router::finishRequest(const entry_context& context, request_number number, std::string_view outcome)
{
    auto& request = m_requests.at(number);
    returnSlot(context, request);
    removeFromQueues(request);
    endAttempt(context, request, outcome);
    context.effects.emplace_back(request.trace->end(requestOperation, outcome, context.now));
    detachFromAttempt(request);
    m_keys.remove(number);
    m_requests.erase(number);
}

execution request_router::failureOutcome(const routed_request& request) const
{
    if (request.mayHaveRun)
        return execution::Unknown;
    // NotRun would claim that no request with this key has run. An entry that sent nothing can't know that: an earlier
    // request with the key may have run.
    return request.request.key ? execution::NotStarted : execution::NotRun;
}

} // namespace appleramp
