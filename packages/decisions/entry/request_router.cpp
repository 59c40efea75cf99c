#include "decisions/entry/request_router.h"

#include "decisions/configuration/configuration_register.h"
#include "decisions/keys/key_scope.h"
#include "decisions/placement/endpoint_directory.h"
#include "model/enum_names.h"

#include <algorithm>
#include <cassert>

namespace appleramp {

namespace {

constexpr duration retryWhenBusy = std::chrono::seconds(1);
constexpr std::string_view requestOperation = "entry.request";

bool isRepeatable(const service_request& request, const fleet_configuration& configuration)
{
    const auto policy = configuration.services.find(request.service);
    if (policy == configuration.services.end())
        return false;
    const auto& routes = policy->second.repeatableRoutes;
    return std::any_of(routes.begin(), routes.end(),
        [&request](const auto& route) { return isRepeatablePath(request.path, route); });
}

problem busy(execution outcome)
{
    return { 503, outcome, "no_capacity", "no endpoint has a free slot", retryWhenBusy };
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
    if (!repeatable)
        request.issued = decodeIssuedKey(*event.request.key, event.request.service);
    request.keyed = !repeatable && !request.issued;
    if (request.keyed)
        m_keys.add(request.number, event.request);
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
    if (!repeatable && looksIssued(*request.key) && !decodeIssuedKey(*request.key, request.service))
        return refuse(400, execution::NotStarted, "key_invalid", "this is not a whole issued key of this service");
    const bool configured = context.configuration.current().services.contains(request.service);
    if (!configured && !context.endpoints.serves(request.service))
        return refuse(404, execution::NotStarted, "unknown_service",
            "no model or service is named '" + request.service.str() + "'");
    if (m_requests.size() >= context.self.maxRequests)
        return refuse(503, request.key ? execution::NotStarted : execution::NotRun, "entry_full",
            "this entry holds as many requests as it may");
    return true;
}

void request_router::place(const entry_context& context, routed_request& request)
{
    if (request.issued && context.endpoints.isReplaced(request.issued->agent, request.issued->agentLife)) {
        fail(context, request.number,
            { 409, execution::Unknown, "key_unknown", "the agent that issued this key was replaced", std::nullopt });
        return;
    }
    if (const auto link = choose(context, request)) {
        dispatch(context, request, *link);
        return;
    }
    request.state = phase::Queued;
    // An endpoint that refused once may have a slot by the time the next one frees.
    request.excluded.clear();
    m_queue.push_back(request.number);
}

std::optional<link_number> request_router::choose(const entry_context& context, const routed_request& request) const
{
    const auto& configuration = context.configuration.current();
    if (!request.issued)
        return context.endpoints.choose(request.request, context.self.zone, request.excluded, configuration,
            context.now);
    const auto* agent = context.endpoints.findAgent(request.issued->agent, request.issued->agentLife);
    const bool mayStart = agent && agent->hasFreeSlot(context.now) && isInService(*agent, configuration);
    return mayStart ? std::optional(agent->link) : std::nullopt;
}

void request_router::dispatch(const entry_context& context, routed_request& request, link_number link)
{
    const auto* endpoint = context.endpoints.find(link);
    assert(endpoint);
    context.endpoints.takeSlot(link);
    request.holdsSlot = true;
    request.link = link;
    request.attempt = { context.self.life, ++m_lastAttempt };
    m_byAttempt[request.attempt].insert(request.number);
    context.effects.emplace_back(request.trace->endQueue(context.traceIds, context.now));
    request.trace->beginAttempt(context.traceIds, context.now);
    context.decide(decision_kind::Placed, request.trace->subject(),
        endpoint->description.endpoint.str() + " in " + endpoint->zone.str() + ", "
            + std::to_string(endpoint->inFlight) + " of " + std::to_string(endpoint->slots) + " slots in use");
    if (!request.keyed) {
        start(context, request);
        return;
    }
    request.state = phase::Claiming;
    m_keys.claim(context, request.number, request.attempt, *endpoint);
}

void request_router::start(const entry_context& context, routed_request& request)
{
    request.state = phase::Running;
    request.answer = answer_assembler();
    ++request.sends;
    const auto* endpoint = context.endpoints.find(request.link);
    assert(endpoint);
    start_attempt message { request.attempt, endpoint->agentLife, request.request, false };
    message.request.timeout = request.deadline - context.now;
    message.request.traceparent = request.trace->traceparent();
    // The agent remembers keys by their scope too.
    if (request.keyed)
        message.request.key = m_keys.scopedKeyOf(request.number);
    context.send(request.link, std::move(message));
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

void request_router::refused(const entry_context& context, link_number link, const attempt_refused& message)
{
    auto* request = findSender(message.attempt, link);
    if (!request)
        return;
    returnSlot(context, *request);
    endAttempt(context, *request, nameOf(message.reason));
    request->excluded.insert(link);
    context.decide(decision_kind::Refused, request->trace->subject(), std::string(nameOf(message.reason)));
    if (message.reason >= refusal::KeyUsed) {
        refusedForKey(context, *request, message);
        return;
    }
    if (!request->keyed) {
        requeue(context, *request);
        return;
    }
    request->state = phase::Releasing;
    m_keys.release(context, request->number);
}

void request_router::refusedForKey(const entry_context& context, routed_request& request,
    const attempt_refused& message)
{
    const auto* agent = context.endpoints.find(request.link);
    switch (message.reason) {
    case refusal::KeyReused:
        fail(context, request.number,
            { 422, execution::NotStarted, "key_reused", "this key stands for a request with other content",
                std::nullopt });
        return;
    case refusal::KeyExpired:
        fail(context, request.number,
            { 410, execution::NotRun, "key_expired", "the issued key was not used in time", std::nullopt });
        return;
    case refusal::KeyInvalid:
        fail(context, request.number,
            { 400, execution::NotStarted, "key_invalid", "the agent that it names issued no such key", std::nullopt });
        return;
    default:
        break;
    }
    if (message.earlier && agent) {
        follow(context, m_keys.ask(context, request.number, *message.earlier, *agent));
        return;
    }
    fail(context, request.number,
        { 409, execution::Unknown, "key_used", "the key's order has been started before", std::nullopt });
}

void request_router::requeue(const entry_context& context, routed_request& request)
{
    disown(request);
    const auto maxSends = 1 + context.configuration.current().defaults.maxRetries;
    if (request.sends >= maxSends) {
        fail(context, request.number, busy(outcomeIfUnsent(request)));
        return;
    }
    context.decide(decision_kind::Retried, request.trace->subject(), "attempt proven not to have run");
    request.trace->enqueue(context.now);
    place(context, request);
}

void request_router::failed(const entry_context& context, link_number link, const attempt_failed& message)
{
    const auto concerned = m_byAttempt.find(message.attempt);
    if (concerned == m_byAttempt.end())
        return;
    for (const auto number : std::set<request_number>(concerned->second)) {
        auto& request = m_requests.at(number);
        if (request.state == phase::Running && request.link == link)
            attemptFailed(context, request, message);
    }
}

void request_router::attemptFailed(const entry_context& context, routed_request& request,
    const attempt_failed& message)
{
    const bool isSender = request.holdsSlot;
    returnSlot(context, request);
    endAttempt(context, request, nameOf(message.cause));
    request.excluded.insert(request.link);
    if (message.outcome == execution::NotRun && request.keyed && isSender) {
        request.state = phase::Releasing;
        m_keys.release(context, request.number);
        return;
    }
    const bool maySendAgain = message.outcome == execution::NotRun || request.request.repeatable;
    if (maySendAgain && !request.headOut) {
        requeue(context, request);
        return;
    }
    if (message.outcome == execution::Completed) {
        fail(context, request.number,
            { 409, execution::Completed, "already_completed", "the order has run; its answer is no longer kept",
                std::nullopt });
        return;
    }
    fail(context, request.number,
        { 502, request.request.repeatable ? execution::NotStarted : execution::Unknown,
            std::string(nameOf(message.cause)), "the endpoint gave no whole answer", std::nullopt });
}

void request_router::reported(const entry_context& context, link_number link, const attempt_report& message)
{
    for (const auto& decision : m_keys.reported(context, link, message))
        follow(context, decision);
}

template <typename Frame>
void request_router::addFrame(const entry_context& context, const Frame& frame)
{
    const auto concerned = m_byAttempt.find(frame.attempt);
    if (concerned == m_byAttempt.end())
        return;
    for (const auto number : std::set<request_number>(concerned->second)) {
        auto& request = m_requests.at(number);
        request.answer.add(frame);
        passOn(context, request);
    }
}

void request_router::answered(const entry_context& context, const response_head& frame) { addFrame(context, frame); }
void request_router::answered(const entry_context& context, const response_body& frame) { addFrame(context, frame); }
void request_router::answered(const entry_context& context, const response_end& frame) { addFrame(context, frame); }

void request_router::passOn(const entry_context& context, routed_request& request)
{
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

void request_router::linkClosed(const entry_context& context, link_number link)
{
    std::vector<request_number> concerned;
    for (const auto& [number, request] : m_requests) {
        const bool uses = request.link == link && request.state != phase::Queued;
        if (uses && request.state != phase::Claiming && request.state != phase::Releasing)
            concerned.push_back(number);
    }
    for (const auto number : concerned) {
        auto& request = m_requests.at(number);
        request.holdsSlot = false;
        endAttempt(context, request, "agent_lost");
        request.excluded.insert(link);
        if (request.request.repeatable && !request.headOut)
            requeue(context, request);
        else
            fail(context, number,
                { 502, execution::Unknown, "agent_lost", "the link to the endpoint's agent was lost", std::nullopt });
    }
}

void request_router::drain(const entry_context& context)
{
    for (auto left = m_queue.size(); left > 0; --left) {
        const auto number = m_queue.front();
        m_queue.pop_front();
        const auto found = m_requests.find(number);
        if (found != m_requests.end() && found->second.state == phase::Queued)
            place(context, found->second);
    }
}

void request_router::expire(const entry_context& context)
{
    std::vector<request_number> late;
    for (const auto& [number, request] : m_requests) {
        if (request.deadline <= context.now)
            late.push_back(number);
    }
    for (const auto number : late) {
        auto& request = m_requests.at(number);
        if (request.state == phase::Queued) {
            fail(context, number, busy(outcomeIfUnsent(request)));
            continue;
        }
        if (request.state == phase::Running)
            context.send(request.link, cancel_attempt { request.attempt });
        const auto outcome = request.state == phase::Claiming ? execution::NotStarted : execution::Unknown;
        fail(context, number, { 504, outcome, "timeout", "the answer is not whole in time", std::nullopt });
    }
}

void request_router::platformReplied(const entry_context& context, const platform_replied& reply)
{
    if (const auto decision = m_keys.replied(context, reply))
        follow(context, *decision);
}

struct request_router::key_step_visitor {
    request_router& self;
    const entry_context& context;
    routed_request& request;

    void operator()(const dispatch_bound& /*step*/) const
    {
        context.decide(decision_kind::KeyBound, request.trace->subject(), "key bound to the attempt");
        self.start(context, request);
    }
    void operator()(const place_again& step) const
    {
        self.returnSlot(context, request);
        self.endAttempt(context, request, "key_freed");
        if (step.isRetry)
            self.requeue(context, request);
        else
            self.place(context, request);
    }
    void operator()(const await_holder& step) const
    {
        self.returnSlot(context, request);
        self.endAttempt(context, request, "key_held");
        self.disown(request);
        request.state = phase::Asking;
        request.link = step.link;
    }
    void operator()(const attach_attempt& step) const
    {
        request.state = phase::Running;
        request.attempt = step.attempt;
        request.link = step.link;
        self.m_byAttempt[step.attempt].insert(request.number);
        request.answer = answer_assembler();
        context.send(step.link, resume_attempt { step.attempt, 0 });
    }
    void operator()(const end_request& step) const
    {
        if (step.answer.outcome == execution::Unknown)
            context.decide(decision_kind::KeyUnknown, request.trace->subject(), step.answer.detail);
        self.fail(context, request.number, step.answer);
    }
};

void request_router::follow(const entry_context& context, const key_decision& decision)
{
    auto& request = m_requests.at(decision.number);
    std::visit(key_step_visitor { *this, context, request }, decision.step);
}

request_router::routed_request* request_router::findSender(attempt_id attempt, link_number link)
{
    const auto concerned = m_byAttempt.find(attempt);
    if (concerned == m_byAttempt.end())
        return nullptr;
    for (const auto number : concerned->second) {
        auto& request = m_requests.at(number);
        if (request.holdsSlot && request.state == phase::Running && request.link == link)
            return &request;
    }
    return nullptr;
}

void request_router::disown(routed_request& request)
{
    const auto concerned = m_byAttempt.find(request.attempt);
    if (concerned == m_byAttempt.end())
        return;
    concerned->second.erase(request.number);
    if (concerned->second.empty())
        m_byAttempt.erase(concerned);
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
    endAttempt(context, request, outcome);
    context.effects.emplace_back(request.trace->end(requestOperation, outcome, context.now));
    disown(request);
    m_keys.forget(number);
    m_requests.erase(number);
}

execution request_router::outcomeIfUnsent(const routed_request& request) const
{
    // For a key only the holder of the proof may say that the order has not run.
    return request.request.key ? execution::NotStarted : execution::NotRun;
}

} // namespace appleramp
