#include "decisions/configuration/configuration_register.h"
#include "decisions/detection/news_refresh.h"
#include "decisions/entry/request_router.h"
#include "decisions/placement/endpoint_directory.h"
#include "decisions/suspects/suspect_registry.h"

#include <algorithm>
#include <cassert>

// The parts of request_router that queue, place and send again.

namespace appleramp {

namespace {

constexpr duration leastRetryAfter = std::chrono::seconds(1);
// How many teams' first requests are tried when a slot may be free.
constexpr std::size_t maxCandidates = 8;
constexpr std::uint16_t statusConflict = 409;
constexpr std::uint16_t statusUnprocessable = 422;
constexpr std::uint16_t statusUnavailable = 503;
constexpr std::uint16_t statusTimeout = 504;

} // namespace

void request_router::place(const entry_context& context, routed_request& request)
{
    if (request.issued && context.endpoints.isReplaced(request.issued->agent, request.issued->agentLife)) {
        fail(context, request.number,
            { statusConflict, execution::Unknown, "key_unknown", "the agent that issued this key was replaced",
                std::nullopt });
        return;
    }
    const auto level = context.suspects.levelOf(request.request.contentHash);
    if (level == suspicion::Convicted) {
        fail(context, request.number,
            { statusUnprocessable, outcomeIfUnsent(request), "suspect_refused",
                "this content has crashed each endpoint that ran it; it is not run again", std::nullopt });
        return;
    }
    if (level == suspicion::Suspected) {
        request.state = phase::Suspected;
        m_suspects.push_back(request.number);
        placeSuspects(context);
        return;
    }
    // Who already waits goes first.
    const auto& queue = m_queues[request.request.service].queue;
    const bool isFirst = queue.ahead(request.request.team, request.request.urgency) == 0;
    if (isFirst && tryPlace(context, request))
        return;
    enqueue(context, request);
}

bool request_router::tryPlace(const entry_context& context, routed_request& request)
{
    if (context.refresh.isPending())
        return false;
    const auto link = choose(context, request);
    if (!link)
        return false;
    m_queues[request.request.service].turnover.placed(context.now);
    dispatch(context, request, *link);
    return true;
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

void request_router::enqueue(const entry_context& context, routed_request& request)
{
    if (!hasRoom(context, request)) {
        fail(context, request.number, busy(context, request));
        return;
    }
    request.state = phase::Queued;
    request.queuedAt = context.now;
    // An endpoint that refused once may have a slot by the time the next one frees.
    request.excluded.clear();
    m_queues[request.request.service].queue.push(request.number, request.request.team, request.request.urgency);
    m_queuedSince.emplace(context.now, request.number);
    context.decide(decision_kind::Queued, request.trace->traceId(), "no free slot");
}

bool request_router::hasRoom(const entry_context& context, const routed_request& request)
{
    auto& [queue, turnover] = m_queues[request.request.service];
    const auto others = queue.ahead(request.request.team, request.request.urgency);
    const auto wait = turnover.waitBehind(others, context.now);
    if (others == 0 || !wait || *wait <= maxQueueWait(context, request))
        return true;
    const auto lower = queue.lowestBelow(request.request.urgency);
    if (!lower)
        return false;
    fail(context, *lower, busy(context, m_requests.at(*lower)));
    return true;
}

duration request_router::maxQueueWait(const entry_context& context, const routed_request& request) const
{
    // An order that may not be repeated is worth waiting for.
    const auto half = request.request.timeout / 2;
    return request.isOrder() ? half : std::min(half, context.configuration.current().defaults.maxQueueWait);
}

problem request_router::busy(const entry_context& context, const routed_request& request) const
{
    const auto found = m_queues.find(request.request.service);
    auto retryAfter = leastRetryAfter;
    if (found != m_queues.end()) {
        const auto wait = found->second.turnover.waitBehind(found->second.queue.size(), context.now);
        retryAfter = std::max(leastRetryAfter, wait.value_or(leastRetryAfter));
    }
    return { statusUnavailable, outcomeIfUnsent(request), "no_capacity", "no endpoint has a free slot", retryAfter };
}

void request_router::leaveQueues(const routed_request& request)
{
    m_deadlines.erase({ request.deadline, request.number });
    const auto queued = m_queues.find(request.request.service);
    if (queued != m_queues.end())
        queued->second.queue.remove(request.number);
    m_queuedSince.erase({ request.queuedAt, request.number });
    std::erase(m_suspects, request.number);
    if (m_runsAlone == request.number)
        m_runsAlone.reset();
}

std::size_t request_router::waiting() const
{
    std::size_t count = m_suspects.size();
    for (const auto& [service, queued] : m_queues)
        count += queued.queue.size();
    return count;
}

waiting_counts request_router::waitingByService() const
{
    waiting_counts counts;
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
    request.attempt = { context.self.life, ++m_lastAttempt };
    m_byAttempt[request.attempt].insert(request.number);
    context.effects.emplace_back(request.trace->endQueue(context.traceIds, context.now));
    request.trace->beginAttempt(context.traceIds, context.now);
    recordPlacing(context, request);
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
    request.lastFrame = context.now;
    if (request.sends == 1) {
        const auto percent = context.configuration.current().defaults.retryBudgetPercent;
        m_budget.sent(request.request.team, request.request.service, percent, context.now);
    }
    start_attempt message { request.attempt, request.request, request.alone, request.agentLife };
    message.request.timeout = request.deadline - context.now;
    message.request.traceparent = request.trace->traceparent();
    // The agent remembers keys by their scope too.
    if (request.keyed)
        message.request.key = m_keys.scopedKeyOf(request.number);
    context.send(request.link, std::move(message));
}

void request_router::recordPlacing(const entry_context& context, const routed_request& request) const
{
    const auto& endpoint = *context.endpoints.find(request.link);
    context.decide(decision_kind::Placed, request.trace->traceId(),
        endpoint.description.endpoint.str() + " in " + endpoint.zone.str() + ", " + std::to_string(endpoint.inFlight)
            + " of " + std::to_string(endpoint.slots) + " slots in use" + (request.alone ? ", alone" : ""));
}

void request_router::drain(const entry_context& context)
{
    if (context.refresh.isPending())
        return;
    shedLate(context);
    endBackoffs(context);
    placeSuspects(context);
    std::vector<service_id> services;
    for (const auto& [service, queued] : m_queues) {
        if (!queued.queue.empty())
            services.push_back(service);
    }
    for (const auto& service : services)
        drainQueue(context, service);
}

void request_router::drainQueue(const entry_context& context, const service_id& service)
{
    auto& queue = m_queues.at(service).queue;
    for (bool placed = true; placed;) {
        placed = false;
        for (const auto number : queue.candidates(maxCandidates)) {
            auto& request = m_requests.at(number);
            if (!tryPlace(context, request))
                continue;
            queue.serve(number);
            m_queuedSince.erase({ request.queuedAt, number });
            placed = true;
            break;
        }
    }
}

void request_router::placeSuspects(const entry_context& context)
{
    if (m_runsAlone || m_suspects.empty() || context.refresh.isPending())
        return;
    auto& request = m_requests.at(m_suspects.front());
    if (context.suspects.levelOf(request.request.contentHash) != suspicion::Suspected) {
        m_suspects.pop_front();
        place(context, request);
        return;
    }
    const auto link = request.issued
        ? choose(context, request)
        : context.endpoints.chooseAlone(request.request, request.excluded, context.configuration.current());
    if (!link) {
        request.excluded.clear();
        return;
    }
    m_suspects.pop_front();
    m_runsAlone = request.number;
    request.alone = true;
    dispatch(context, request, *link);
}

void request_router::expire(const entry_context& context)
{
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= context.now) {
        const auto number = m_deadlines.begin()->second;
        auto& request = m_requests.at(number);
        if (request.state == phase::Running) {
            context.send(request.link, cancel_attempt { request.attempt });
            request.mayHaveRun = true;
        }
        if (request.state == phase::Asking || request.state == phase::Relinking)
            request.mayHaveRun = true;
        if (request.state == phase::Queued)
            fail(context, number, busy(context, request));
        else
            fail(context, number,
                { statusTimeout, outcomeIfUnsent(request), "timeout", "the answer is not whole in time",
                    std::nullopt });
    }
    askAgain(context);
    m_budget.forgetIdle(context.now);
}

void request_router::shedLate(const entry_context& context)
{
    std::vector<request_number> late;
    for (const auto& [since, number] : m_queuedSince) {
        const auto& request = m_requests.at(number);
        if (since + maxQueueWait(context, request) <= context.now)
            late.push_back(number);
        else if (!request.isOrder())
            break;
    }
    for (const auto number : late)
        fail(context, number, busy(context, m_requests.at(number)));
}

} // namespace appleramp
