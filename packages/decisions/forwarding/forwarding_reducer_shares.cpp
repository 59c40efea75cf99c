#include "decisions/forwarding/forwarding_reducer.h"

#include "decisions/forwarding/durations.h"

#include <algorithm>
#include <utility>

// The part of the reducer that waits for this entry's shares of endpoints, passes them between entries, and logs restrictions.

namespace appleramp {

namespace {

// While only its entry's shares keep a request from the endpoints, it waits for at most maxShareWait or its time left divided by
// shareWaitDivisor, whichever is shorter.
constexpr duration maxShareWait = std::chrono::seconds(1);
constexpr int shareWaitDivisor = 5;
// A share that opens sooner is waited for; otherwise another entry is asked, which takes about as long.
constexpr duration shortShareWait = std::chrono::milliseconds(10);
// Questions of one request, and the time within which the answer to one is expected.
constexpr std::uint32_t maxShareQuestions = 8;
constexpr duration shareAnswerWait = std::chrono::milliseconds(40);
// As long a request that could go elsewhere is kept for an endpoint that has just started.
constexpr duration firstShareAnswerWait = std::chrono::milliseconds(10);
// Started endpoints for which a request is offered, one after the other, if they have had one already.
constexpr std::uint32_t maxFirstQuestions = 3;
// Requests of a service that wait at the same time; each looks for endpoints whenever it wakes.
constexpr std::size_t maxShareWaiters = 32;
// Backoffs that are shorter are not logged: an endpoint that is full rejects many requests.
constexpr duration minLoggedBackoff = std::chrono::milliseconds(500);

} // namespace

placement_query forwarding_reducer::queryFor(instant now, const service_id& service) const
{
    const service_description* const described = m_routes ? m_routes->service(service) : nullptr;
    return { .now = now,
        .service = service,
        .zone = m_settings.zone,
        .entryCount = m_peers.entryCount(now),
        .excludedEndpoints = {},
        .coldRequestsPerSecond = described == nullptr ? std::nullopt : described->coldRequestsPerSecond };
}

bool forwarding_reducer::waitForShare(instant now, request_number number, request_state& request, const placement_query& query)
{
    // The caller need not wait for a failure that is at hand.
    if (request.hasFailureAnswer)
        return false;
    if (request.shareWaitEnd == instant {})
        request.shareWaitEnd = now + std::min(maxShareWait, (request.deadline - now) / shareWaitDivisor);
    if (now >= request.shareWaitEnd || (!request.waitsForShare && m_shareWaiters[request.service] >= maxShareWaiters))
        return false;
    const auto opensAt = m_fleet.shareOpensAt(query);
    const bool isSoon = opensAt && *opensAt - now < shortShareWait;
    const bool isAsked = !isSoon && askForShare(now, number, request, m_fleet.borrowableShare(query, randomFraction()));
    if (!isAsked && (!opensAt || *opensAt > request.shareWaitEnd))
        return false;
    const instant answered = now + shareAnswerWait;
    waitUntil(now, number, request, isAsked ? std::min(answered, opensAt.value_or(answered)) : *opensAt);
    return true;
}

bool forwarding_reducer::borrowFirstRequest(instant now, request_number number, request_state& request, const placement_query& query)
{
    if (request.attempts > 0 || request.shareQuestions >= maxFirstQuestions || !askForShare(now, number, request, m_fleet.firstRequestToBorrow(query, randomFraction())))
        return false;
    waitUntil(now, number, request, now + firstShareAnswerWait);
    return true;
}

void forwarding_reducer::waitUntil(instant now, request_number number, request_state& request, instant until)
{
    m_effects.emplace_back(wait_for_service { number, until });
    if (std::exchange(request.waitsForShare, true))
        return;
    ++m_shareWaiters[request.service];
    m_effects.emplace_back(log_decision { "waits_for_share", request.caller.sendId,
        { { "service", request.service.str() }, { "for_ms", millisecondsText(until - now) }, { "asked", request.openPermitQuestion ? "true" : "false" } } });
}

bool forwarding_reducer::askForShare(instant now, request_number number, request_state& request, std::optional<endpoint_limits::borrowable_request> found)
{
    if (!found || request.shareQuestions == maxShareQuestions)
        return false;
    ++request.shareQuestions;
    found->question.request = number;
    request.openPermitQuestion = found->question;
    request.shareAskedAt = now;
    m_effects.emplace_back(ask_permit { instance_id(found->owner), found->question });
    return true;
}

void forwarding_reducer::lendShare(const permit_asked& event)
{
    const bool isGranted = m_fleet.lendShare(queryFor(event.now, m_fleet.serviceOf(event.question.endpoint)), event.question);
    m_effects.emplace_back(answer_permit { event.asker, { event.question, isGranted } });
    if (isGranted)
        m_effects.emplace_back(log_decision { "share_lent", {}, { { "endpoint", event.question.endpoint.str() }, { "to", event.asker.str() } } });
}

void forwarding_reducer::onShareAnswered(const permit_answered& event, request_state& request)
{
    const permit_question& question = event.answer.question;
    if (event.answer.isGranted) {
        m_fleet.borrowShare(question, request.shareAskedAt);
        m_effects.emplace_back(log_decision { "share_borrowed", request.caller.sendId, { { "endpoint", question.endpoint.str() } } });
    } else
        m_fleet.recordShareRefused(question);
    if (request.currentEndpoint.empty())
        place(event.now, question.request, request);
}

void forwarding_reducer::logRestrictions(instant now)
{
    for (const restriction_change& change : m_fleet.updateRestrictions(now)) {
        const endpoint_restriction& restriction = change.restriction;
        if (restriction.reason == restriction_reason::Backoff && restriction.until && *restriction.until - restriction.since < minLoggedBackoff)
            continue;
        log_decision line { change.hasEnded ? "restriction_ended" : "restriction_began", {},
            { { "endpoint", change.endpoint.str() }, { "reason", std::string(nameOf(restriction.reason)) }, { "share", std::to_string(restriction.share) } } };
        if (change.hasEnded)
            line.inputs.emplace_back("after_ms", millisecondsText(now - restriction.since));
        else if (restriction.until)
            line.inputs.emplace_back("for_ms", millisecondsText(*restriction.until - now));
        m_effects.emplace_back(std::move(line));
    }
}

} // namespace appleramp
