#include "decisions/configuration/configuration_register.h"
#include "decisions/entry/request_router.h"
#include "decisions/placement/endpoint_directory.h"
#include "model/enum_names.h"

// The parts of request_router that handle refused and failed attempts, lost links and retries.

namespace appleramp {

namespace {

// Attempts refused or proven not to have run that one request may have before it fails.
constexpr std::uint32_t maxPlacements = 16;
constexpr duration reconnectTimeout = std::chrono::seconds(4);
// If no frame of a response arrives for so long, the agent is asked to resume it from the next missing frame.
constexpr duration stalledAfter = std::chrono::seconds(2);
constexpr std::uint16_t statusConflict = 409;
constexpr std::uint16_t statusBadGateway = 502;

} // namespace

void request_router::attemptRefused(const entry_context& context, link_number link, const attempt_refused& message)
{
    auto* request = findSender(message.attempt, link);
    if (!request)
        return;
    returnSlot(context, *request);
    endAttempt(context, *request, nameOf(message.reason));
    request->excludedLinks.insert(link);
    --request->sendCount;
    context.recordDecision(decision_kind::Refused, request->trace->traceId(), std::string(nameOf(message.reason)));
    const bool concernsKey = message.reason >= refusal::KeyUsed;
    if (concernsKey) {
        handleKeyRefusal(context, *request, message);
        return;
    }
    if (!request->needsKeyBinding) {
        requeue(context, *request);
        return;
    }
    request->state = phase::ReleasingKey;
    m_keys.release(context, request->number);
}

void request_router::handleKeyRefusal(const entry_context& context, routed_request& request,
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
        applyKeyDecision(context, m_keys.queryAgent(context, request.number, *message.earlier, *agent));
        return;
    }
    fail(context, request.number,
        { 409, execution::Unknown, "key_used", "the key's order has been started before", std::nullopt });
}

void request_router::requeue(const entry_context& context, routed_request& request)
{
    detachFromAttempt(request);
    if (m_requestRunningAlone == request.number)
        m_requestRunningAlone.reset();
    request.runsAlone = false;
    const auto maxSends = 1 + context.configuration.current().defaults.maxRetries;
    if (request.sendCount >= maxSends || ++request.placementCount > maxPlacements) {
        fail(context, request.number, noCapacityProblem(context, request));
        return;
    }
    context.recordDecision(decision_kind::Retried, request.trace->traceId(), "attempt proven not to have run");
    request.trace->beginQueue(context.now);
    place(context, request);
}

void request_router::retry(const entry_context& context, routed_request& request, problem otherwise)
{
    if (const auto wait = takeRetry(context, request))
        scheduleRetry(context, request, *wait);
    else
        fail(context, request.number, std::move(otherwise));
}

std::optional<duration> request_router::takeRetry(const entry_context& context, const routed_request& request)
{
    const auto& defaults = context.configuration.current().defaults;
    const auto wait = m_backoff.nextDelay(request.sendCount);
    const bool isInTime = context.now + wait < request.deadline;
    const bool mayRetry = request.sendCount <= defaults.maxRetries && isInTime;
    if (mayRetry && m_retryBudget.tryTake(request.request.team, request.request.service, context.now))
        return wait;
    context.recordDecision(decision_kind::Refused, request.trace->traceId(), mayRetry ? "retry budget used up" : "no further retry");
    return std::nullopt;
}

void request_router::scheduleRetry(const entry_context& context, routed_request& request, duration wait)
{
    detachFromAttempt(request);
    if (m_requestRunningAlone == request.number)
        m_requestRunningAlone.reset();
    request.runsAlone = false;
    request.state = phase::BackingOff;
    request.queuedAt = context.now + wait;
    m_waitDeadlines.emplace(request.queuedAt, request.number);
    context.recordDecision(decision_kind::Retried, request.trace->traceId(), "sent again after a wait");
    request.trace->beginQueue(context.now);
}

void request_router::attemptFailed(const entry_context& context, link_number link, const attempt_failed& message)
{
    const auto affected = m_requestsByAttempt.find(message.attempt);
    if (affected == m_requestsByAttempt.end())
        return;
    for (const auto number : std::set<request_number>(affected->second)) {
        auto& request = m_requests.at(number);
        const bool isSent = request.state == phase::Running || request.state == phase::QueryingAgent;
        if (isSent && request.link == link)
            handleFailure(context, request, message);
    }
}

void request_router::handleFailure(const entry_context& context, routed_request& request,
    const attempt_failed& message)
{
    returnSlot(context, request);
    endAttempt(context, request, nameOf(message.cause));
    request.excludedLinks.insert(request.link);
    if (message.outcome == execution::NotRun && m_keys.isBoundTo(request.number, message.attempt)) {
        request.state = phase::ReleasingKey;
        m_keys.release(context, request.number);
        return;
    }
    if (message.outcome == execution::Completed) {
        fail(context, request.number,
            { statusConflict, execution::Completed, "already_completed",
                "the order has run; its answer is no longer kept", std::nullopt });
        return;
    }
    request.mayHaveRun = request.mayHaveRun || message.outcome != execution::NotRun;
    const bool maySendAgain = message.outcome == execution::NotRun || request.request.repeatable;
    problem answer { statusBadGateway, failureOutcome(request), std::string(nameOf(message.cause)),
        "the endpoint gave no whole answer", std::nullopt };
    if (maySendAgain && !request.headSent)
        retry(context, request, std::move(answer));
    else
        fail(context, request.number, std::move(answer));
}

void request_router::linkClosed(const entry_context& context, link_number link)
{
    std::vector<request_number> affected;
    for (const auto& [number, request] : m_requests) {
        const bool isSent = request.state == phase::Running || request.state == phase::QueryingAgent;
        if (isSent && request.link == link)
            affected.push_back(number);
    }
    for (const auto number : affected) {
        auto& request = m_requests.at(number);
        request.holdsSlot = false;
        request.excludedLinks.insert(link);
        request.mayHaveRun = true;
        // Without a retry the attempt is kept: the agent goes on with it for some seconds, and may connect again.
        const bool isRepeatable = request.request.repeatable && !request.headSent && request.state == phase::Running;
        if (const auto wait = isRepeatable ? takeRetry(context, request) : std::nullopt) {
            endAttempt(context, request, "agent_lost");
            scheduleRetry(context, request, *wait);
            continue;
        }
        request.state = phase::Reconnecting;
        request.reconnectDeadline = context.now + reconnectTimeout;
        request.queuedAt = request.reconnectDeadline;
        m_waitDeadlines.emplace(request.queuedAt, number);
    }
}

void request_router::agentConnected(const entry_context& context, link_number link)
{
    const auto* endpoint = context.endpoints.find(link);
    if (!endpoint)
        return;
    std::vector<request_number> affected;
    for (const auto& [number, request] : m_requests) {
        if (request.state == phase::Reconnecting && request.agent == endpoint->instance)
            affected.push_back(number);
    }
    for (const auto number : affected) {
        auto& request = m_requests.at(number);
        m_waitDeadlines.erase({ request.queuedAt, number });
        if (request.agentLife != endpoint->agentLife) {
            fail(context, number,
                { statusBadGateway, execution::Unknown, "agent_restarted", "the endpoint's agent has lost the answer",
                    std::nullopt });
            continue;
        }
        request.link = link;
        context.endpoints.takeSlot(link);
        request.holdsSlot = true;
        queryOrResume(context, request);
    }
}

void request_router::queryOrResume(const entry_context& context, routed_request& request)
{
    request.lastFrameAt = context.now;
    request.resumeRequested = false;
    if (request.isNonRepeatable() && !request.headSent) {
        // The attempt may never have reached the agent. If so, the query makes the agent record a tombstone, which proves
        // that the attempt will never start.
        request.state = phase::QueryingAgent;
        if (request.needsKeyBinding)
            m_keys.repeatQuery(context, request.number, request.link);
        else
            m_keys.queryAgent(context, request.number, request.attempt, *context.endpoints.find(request.link));
        return;
    }
    request.state = phase::Running;
    context.send(request.link, resume_attempt { request.attempt, request.answer.nextFrame() });
}

void request_router::endBackoffs(const entry_context& context)
{
    while (!m_waitDeadlines.empty() && m_waitDeadlines.begin()->first <= context.now) {
        const auto number = m_waitDeadlines.begin()->second;
        m_waitDeadlines.erase(m_waitDeadlines.begin());
        const auto found = m_requests.find(number);
        if (found == m_requests.end())
            continue;
        auto& request = found->second;
        if (request.state == phase::BackingOff)
            place(context, request);
        else if (request.state == phase::Reconnecting)
            fail(context, number,
                { statusBadGateway, execution::Unknown, "agent_lost", "the link to the endpoint's agent was lost",
                    std::nullopt });
    }
}

void request_router::resumeStalledAttempts(const entry_context& context)
{
    if (context.now < m_nextStallCheck)
        return;
    m_nextStallCheck = context.now + stalledAfter;
    for (auto& [number, request] : m_requests) {
        if (request.state != phase::Running || context.now < request.lastFrameAt + stalledAfter)
            continue;
        request.lastFrameAt = context.now;
        context.send(request.link, resume_attempt { request.attempt, request.answer.nextFrame() });
    }
}

} // namespace appleramp
