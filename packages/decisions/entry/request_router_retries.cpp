#include "decisions/configuration/configuration_register.h"
#include "decisions/entry/request_router.h"
#include "decisions/placement/endpoint_directory.h"
#include "model/enum_names.h"

// The parts of request_router that deal with refused, failed and cut off attempts and send again.

namespace appleramp {

namespace {

// Refusals by agents that one request goes through before it is given up on.
constexpr std::uint32_t maxPlacements = 16;
constexpr duration relinkTime = std::chrono::seconds(4);
// An answer without a frame for so long is asked for again from where it stands.
constexpr duration askAgainInterval = std::chrono::seconds(2);
constexpr std::uint16_t statusConflict = 409;
constexpr std::uint16_t statusBadGateway = 502;

} // namespace

void request_router::refused(const entry_context& context, link_number link, const attempt_refused& message)
{
    auto* request = findSender(message.attempt, link);
    if (!request)
        return;
    returnSlot(context, *request);
    endAttempt(context, *request, nameOf(message.reason));
    request->excluded.insert(link);
    --request->sends;
    context.decide(decision_kind::Refused, request->trace->traceId(), std::string(nameOf(message.reason)));
    const bool concernsKey = message.reason >= refusal::KeyUsed;
    if (concernsKey) {
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
    if (m_runsAlone == request.number)
        m_runsAlone.reset();
    request.alone = false;
    const auto maxSends = 1 + context.configuration.current().defaults.maxRetries;
    if (request.sends >= maxSends || ++request.placements > maxPlacements) {
        fail(context, request.number, busy(context, request));
        return;
    }
    context.decide(decision_kind::Retried, request.trace->traceId(), "attempt proven not to have run");
    request.trace->beginQueue(context.now);
    place(context, request);
}

void request_router::retry(const entry_context& context, routed_request& request, problem otherwise)
{
    disown(request);
    if (m_runsAlone == request.number)
        m_runsAlone.reset();
    request.alone = false;
    const auto& defaults = context.configuration.current().defaults;
    const auto wait = m_backoff.next(request.sends);
    const bool isInTime = context.now + wait < request.deadline;
    const bool mayRetry = request.sends <= defaults.maxRetries && isInTime;
    if (!mayRetry || !m_budget.take(request.request.team, request.request.service, context.now)) {
        context.decide(decision_kind::Refused, request.trace->traceId(),
            mayRetry ? "retry budget used up" : "no further retry");
        fail(context, request.number, std::move(otherwise));
        return;
    }
    request.state = phase::BackingOff;
    request.queuedAt = context.now + wait;
    m_backingOff.emplace(request.queuedAt, request.number);
    context.decide(decision_kind::Retried, request.trace->traceId(), "sent again after a wait");
    request.trace->beginQueue(context.now);
}

void request_router::failed(const entry_context& context, link_number link, const attempt_failed& message)
{
    const auto concerned = m_byAttempt.find(message.attempt);
    if (concerned == m_byAttempt.end())
        return;
    for (const auto number : std::set<request_number>(concerned->second)) {
        auto& request = m_requests.at(number);
        const bool isSent = request.state == phase::Running || request.state == phase::Asking;
        if (isSent && request.link == link)
            attemptFailed(context, request, message);
    }
}

void request_router::attemptFailed(const entry_context& context, routed_request& request,
    const attempt_failed& message)
{
    returnSlot(context, request);
    endAttempt(context, request, nameOf(message.cause));
    request.excluded.insert(request.link);
    if (message.outcome == execution::NotRun && m_keys.holds(request.number, message.attempt)) {
        request.state = phase::Releasing;
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
    problem answer { statusBadGateway, outcomeIfUnsent(request), std::string(nameOf(message.cause)),
        "the endpoint gave no whole answer", std::nullopt };
    if (maySendAgain && !request.headOut)
        retry(context, request, std::move(answer));
    else
        fail(context, request.number, std::move(answer));
}

void request_router::linkClosed(const entry_context& context, link_number link)
{
    std::vector<request_number> concerned;
    for (const auto& [number, request] : m_requests) {
        const bool isSent = request.state == phase::Running || request.state == phase::Asking;
        if (isSent && request.link == link)
            concerned.push_back(number);
    }
    for (const auto number : concerned) {
        auto& request = m_requests.at(number);
        request.holdsSlot = false;
        request.excluded.insert(link);
        request.mayHaveRun = true;
        if (request.request.repeatable && !request.headOut && request.state == phase::Running) {
            endAttempt(context, request, "agent_lost");
            retry(context, request,
                { statusBadGateway, execution::Unknown, "agent_lost", "the link to the endpoint's agent was lost",
                    std::nullopt });
            continue;
        }
        request.state = phase::Relinking;
        request.relinksUntil = context.now + relinkTime;
        request.queuedAt = request.relinksUntil;
        m_backingOff.emplace(request.queuedAt, number);
    }
}

void request_router::agentGreeted(const entry_context& context, link_number link)
{
    const auto* endpoint = context.endpoints.find(link);
    if (!endpoint)
        return;
    std::vector<request_number> concerned;
    for (const auto& [number, request] : m_requests) {
        if (request.state == phase::Relinking && request.agent == endpoint->instance)
            concerned.push_back(number);
    }
    for (const auto number : concerned) {
        auto& request = m_requests.at(number);
        m_backingOff.erase({ request.queuedAt, number });
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
    request.lastFrame = context.now;
    request.resumeAsked = false;
    if (request.isOrder() && !request.headOut) {
        // It may never have come: the agent's tombstone would be the proof.
        request.state = phase::Asking;
        if (request.keyed)
            m_keys.askAgain(context, request.number, request.link);
        else
            m_keys.ask(context, request.number, request.attempt, *context.endpoints.find(request.link));
        return;
    }
    request.state = phase::Running;
    context.send(request.link, resume_attempt { request.attempt, request.answer.nextFrame() });
}

void request_router::endBackoffs(const entry_context& context)
{
    while (!m_backingOff.empty() && m_backingOff.begin()->first <= context.now) {
        const auto number = m_backingOff.begin()->second;
        m_backingOff.erase(m_backingOff.begin());
        const auto found = m_requests.find(number);
        if (found == m_requests.end())
            continue;
        auto& request = found->second;
        if (request.state == phase::BackingOff)
            place(context, request);
        else if (request.state == phase::Relinking)
            fail(context, number,
                { statusBadGateway, execution::Unknown, "agent_lost", "the link to the endpoint's agent was lost",
                    std::nullopt });
    }
}

void request_router::askAgain(const entry_context& context)
{
    if (context.now < m_nextAskAgain)
        return;
    m_nextAskAgain = context.now + askAgainInterval;
    for (auto& [number, request] : m_requests) {
        if (request.state != phase::Running || context.now < request.lastFrame + askAgainInterval)
            continue;
        request.lastFrame = context.now;
        context.send(request.link, resume_attempt { request.attempt, request.answer.nextFrame() });
    }
}

} // namespace appleramp
