#include "decisions/configuration/configuration_register.h"
#include "decisions/detection/configuration_refresh.h"
#include "decisions/entry/request_router.h"
#include "decisions/placement/endpoint_directory.h"
#include "decisions/suspects/suspect_registry.h"

#include <algorithm>
#include <cassert>

// The parts of request_router that queue requests, place them on endpoints, send attempts and enforce time limits.

namespace appleramp {

namespace {

constexpr duration minRetryAfter = std::chrono::seconds(1);
// Only the first requests of so many teams are tried each time a slot may be free.
constexpr std::size_t maxCandidateTeams = 8;
constexpr std::uint16_t statusConflict = 409;
constexpr std::uint16_t statusUnprocessable = 422;
constexpr std::uint16_t statusUnavailable = 503;
constexpr std::uint16_t statusTimeout = 504;

} // namespace

void request_router::place(const entry_context& context, routed_request& request)
{
    if (request.issuedKey && context.endpoints.isReplaced(request.issuedKey->agent, request.issuedKey->agentLife)) {
        fail(context, request.number,
            { statusConflict, execution::Unknown, "key_unknown", "the agent that issued this key was replaced",
                std::nullopt });
        return;
    }
    const auto level = context.suspects.levelOf(request.request.contentHash);
    if (level == suspicion::Convicted) {
        fail(context, request.number,
            { statusUnprocessable, failureOutcome(request), "suspect_refused",
                "this content has crashed each endpoint that ran it; it is not run again", std::nullopt });
        return;
    }
    if (level == suspicion::Suspected) {
        request.state = phase::WaitingToRunAlone;
        m_waitingSuspects.push_back(request.number);
        placeNextSuspect(context);
        return;
    }
    // Requests that already wait in the queue come first.
    const auto& queue = m_queues[request.request.service].queue;
    const bool isFirst = queue.countAhead(request.request.team, request.request.urgency) == 0;
    if (isFirst && tryPlace(context, request))
        return;
    enqueue(context, request);
}

bool request_router::tryPlace(const entry_context& context, routed_request& request)
{
    if (context.refresh.isPending())
        return false;
    const auto link = chooseLink(context, request);
    if (!link)
        return false;
    m_queues[request.request.service].waitEstimator.recordDispatch(context.now);
    dispatch(context, request, *link);
    return true;
}

std::optional<link_number> request_router::chooseLink(const entry_context& context, const routed_request& request) const
{
    const auto& configuration = context.configuration.current();
    if (!request.issuedKey)
        return context.endpoints.choose(request.request, context.identity.zone, request.excludedLinks, configuration,
            context.now);
    const auto* agent = context.endpoints.findAgent(request.issuedKey->agent, request.issuedKey->agentLife);
    const bool mayStart = agent && agent->hasFreeSlot(context.now) && isInService(*agent, configuration);
    return mayStart ? std::optional(agent->link) : std::nullopt;
}

void request_router::enqueue(const entry_context& context, routed_request& request)
{
    if (!makeQueueRoom(context, request)) {
        fail(context, request.number, noCapacityProblem(context, request));
        return;
    }
    request.state = phase::Queued;
    request.queuedAt = context.now;
    // An endpoint that refused this request may have a free slot by the time the request leaves the queue.
    request.excludedLinks.clear();
    m_queues[request.request.service].queue.push(request.number, request.request.team, request.request.urgency);
    m_requestsByQueueTime.emplace(context.now, request.number);
    context.recordDecision(decision_kind::Queued, request.trace->traceId(), "no free slot");
}

bool request_router::makeQueueRoom(const entry_context& context, const routed_request& request)
{
    auto& [queue, waitEstimator] = m_queues[request.request.service];
    const auto requestsAhead = queue.countAhead(request.request.team, request.request.urgency);
    const auto wait = waitEstimator.expectedWait(requestsAhead, context.now);
    if (requestsAhead == 0 || !wait || *wait <= maxQueueWait(context, request))
        return true;
    const auto lessUrgent = queue.findPreemptible(request.request.urgency);
    if (!lessUrgent)
        return false;
    fail(context, *lessUrgent, noCapacityProblem(context, m_requests.at(*lessUrgent)));
    return true;
}

duration request_router::maxQueueWait(const entry_context& context, const routed_request& request) const
{
    // Non-repeatable requests are worth a longer wait: up to half their timeout, regardless of the configured limit.
    const auto half = request.request.timeout / 2;
    return request.isNonRepeatable() ? half : std::min(half, context.configuration.current().defaults.maxQueueWait);
}

problem request_router::noCapacityProblem(const entry_context& context, const routed_request& request) const
{
    const auto found = m_queues.find(request.request.service);
    auto retryAfter = minRetryAfter;
    if (found != m_queues.end()) {
        const auto wait = found->second.waitEstimator.expectedWait(found->second.queue.size(), context.now);
        retryAfter = std::max(minRetryAfter, wait.value_or(minRetryAfter));
    }
    return { statusUnavailable, failureOutcome(request), "no_capacity", "no endpoint has a free slot", retryAfter };
}

void request_router::removeFromQueues(const routed_request& request)
{
    m_deadlines.erase({ request.deadline, request.number });
    const auto queued = m_queues.find(request.request.service);
    if (queued != m_queues.end())
        queued->second.queue.remove(request.number);
    m_requestsByQueueTime.erase({ request.queuedAt, request.number });
    std::erase(m_waitingSuspects, request.number);
    if (m_requestRunningAlone == request.number)
        m_requestRunningAlone.reset();
}

std::size_t request_router::waiting() const
{
    std::size_t count = m_waitingSuspects.size();
    for (const auto& [service, queued] : m_queues)
        count += queued.queue.size();
    return count;
}

queued_counts request_router::waitingByService() const
{
    queued_counts counts;
    for (const auto& [service, queued] : m_queues) {
        if (!queued.queue.empty())
            counts[service] = static_cast<std::uint32_t>(queued.queue.size());
    }
    return counts;
}

void request_router::dispatch(const entry_context& context, routed_request& request, link_number link)
{
    const auto* endpoint = context.endpoints.find(link);
    assert(endpoint);
    context.endpoints.takeSlot(link);
    request.holdsSlot = true;
    request.link = link;
    request.agent = endpoint->instance;
    request.agentLife = endpoint->agentLife;
    request.attempt = { context.identity.life, ++m_lastAttemptNumber };
    m_requestsByAttempt[request.attempt].insert(request.number);
    context.effects.emplace_back(request.trace->endQueue(context.traceIds, context.now));
    request.trace->beginAttempt(context.traceIds, context.now);
    recordPlacement(context, request);
    if (!request.needsKeyBinding) {
        sendAttempt(context, request);
        return;
    }
    request.state = phase::BindingKey;
    m_keys.bindKey(context, request.number, request.attempt, *endpoint);
}

void request_router::sendAttempt(const entry_context& context, routed_request& request)
{
    request.state = phase::Running;
    request.answer = response_assembler();
    ++request.sendCount;
    request.lastFrameAt = context.now;
    if (request.sendCount == 1) {
        const auto percent = context.configuration.current().defaults.retryBudgetPercent;
        m_retryBudget.recordFirstSend(request.request.team, request.request.service, percent, context.now);
    }
    start_attempt message { request.attempt, request.request, request.runsAlone, request.agentLife };
    message.request.timeout = request.deadline - context.now;
    message.request.traceparent = request.trace->traceparent();
    // The agent too records keys in their scoped form.
    if (request.needsKeyBinding)
        message.request.key = m_keys.scopedKeyOf(request.number);
    context.send(request.link, std::move(message));
}

void request_router::recordPlacement(const entry_context& context, const routed_request& request) const
{
    const auto& endpoint = *context.endpoints.find(request.link);
    context.recordDecision(decision_kind::Placed, request.trace->traceId(),
        endpoint.description.endpoint.str() + " in " + endpoint.zone.str() + ", " + std::to_string(endpoint.inFlight)
            + " of " + std::to_string(endpoint.slots) + " slots in use" + (request.runsAlone ? ", alone" : ""));
}

void request_router::placeWaiting(const entry_context& context)
{
    if (context.refresh.isPending())
        return;
    shedOverdue(context);
    endBackoffs(context);
    placeNextSuspect(context);
    std::vector<service_id> services;
    for (const auto& [service, queued] : m_queues) {
        if (!queued.queue.empty())
            services.push_back(service);
    }
    for (const auto& service : services)
        placeQueued(context, service);
}

void request_router::placeQueued(const entry_context& context, const service_id& service)
{
    auto& queue = m_queues.at(service).queue;
    for (bool placed = true; placed;) {
        placed = false;
        for (const auto number : queue.nextRequests(maxCandidateTeams)) {
            auto& request = m_requests.at(number);
            if (!tryPlace(context, request))
                continue;
            queue.takeTurn(number);
            m_requestsByQueueTime.erase({ request.queuedAt, number });
            placed = true;
            break;
        }
    }
}

void request_router::placeNextSuspect(const entry_context& context)
{
    if (m_requestRunningAlone || m_waitingSuspects.empty() || context.refresh.isPending())
        return;
    auto& request = m_requests.at(m_waitingSuspects.front());
    if (context.suspects.levelOf(request.request.contentHash) != suspicion::Suspected) {
        m_waitingSuspects.pop_front();
        place(context, request);
        return;
    }
    const auto link = request.issuedKey
        ? chooseLink(context, request)
        : context.endpoints.chooseForExclusive(request.request, request.excludedLinks, context.configuration.current());
    if (!link) {
        request.excludedLinks.clear();
        return;
    }
    m_waitingSuspects.pop_front();
    m_requestRunningAlone = request.number;
    request.runsAlone = true;
    dispatch(context, request, *link);
}

void request_router::expireRequests(const entry_context& context)
{
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= context.now) {
        const auto number = m_deadlines.begin()->second;
        auto& request = m_requests.at(number);
        if (request.state == phase::Running) {
            context.send(request.link, cancel_attempt { request.attempt });
            request.mayHaveRun = true;
        }
        if (request.state == phase::QueryingAgent || request.state == phase::Reconnecting)
            request.mayHaveRun = true;
        if (request.state == phase::Queued)
            fail(context, number, noCapacityProblem(context, request));
        else
            fail(context, number,
                { statusTimeout, failureOutcome(request), "timeout", "the answer is not whole in time",
                    std::nullopt });
    }
    resumeStalledAttempts(context);
    m_retryBudget.removeIdle(context.now);
}

void request_router::shedOverdue(const entry_context& context)
{
    std::vector<request_number> overdue;
    for (const auto& [since, number] : m_requestsByQueueTime) {
        const auto& request = m_requests.at(number);
        if (since + maxQueueWait(context, request) <= context.now)
            overdue.push_back(number);
        else if (!request.isNonRepeatable())
            break;
    }
    for (const auto number : overdue)
        fail(context, number, noCapacityProblem(context, m_requests.at(number)));
}

} // namespace appleramp
