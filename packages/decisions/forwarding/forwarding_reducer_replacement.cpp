#include "decisions/forwarding/forwarding_reducer.h"

#include "decisions/forwarding/durations.h"

#include <algorithm>
#include <utility>
#include <vector>

// Attempts that run at a silent or slow endpoint. They are given up only for another attempt that can be sent at once: the endpoint may
// still answer, while a caller whose answer was given up has nothing.

namespace appleramp {

namespace {

// Streams are moved from endpoints that are slower than published by this factor or more. Moving costs a second prompt
// processing and one of the request's few attempts.
constexpr double moveStreamsPaceThreshold = 2.0;

bool hasFreeSlot(const placement& found) { return found.slots == 0 || found.load < static_cast<double>(found.slots); }

} // namespace

placement_query forwarding_reducer::queryFor(instant now, request_number number, const request_state& request)
{
    const service_description* const service = request.routes->service(request.service);
    placement_query query { .now = now,
        .service = request.service,
        .zone = m_settings.zone,
        .entryCount = m_peers.entryCount(now),
        .excludedEndpoints = request.triedEndpoints,
        .coldRequestsPerSecond = service == nullptr ? std::nullopt : service->coldRequestsPerSecond,
        .allowsLimited = requestsAhead(number, request) == 0,
        .randomFraction = randomFraction() };
    describeWork(request, query);
    return query;
}

bool forwarding_reducer::mayBeReplaced(instant now, const request_state& request)
{
    const route& matchedRoute = *request.matchedRoute;
    const bool hasAttempts = matchedRoute.repeatable() && request.attempts < matchedRoute.maxAttempts;
    // The rest of a stream may be short, while any other answer starts anew.
    const duration neededTime = matchedRoute.kind == route_kind::Stream ? duration::zero() : m_fleet.meanAnswerTime(request.service);
    const bool hasTime = request.deadline - now >= std::max(minTimeLeft, neededTime);
    const bool allowsKey = request.team.empty() || m_freshness.allowsKeyUse(now);
    const bool isSuspect = std::any_of(request.suspects.begin(), request.suspects.end(),
        [&](const suspect_key& key) { return m_crashes.verdict(now, key) != suspect_verdict::Unsuspected; });
    return hasAttempts && hasTime && allowsKey && !isSuspect;
}

std::optional<placement> forwarding_reducer::takeReplacement(instant now, request_number number, const request_state& request, log_decision& line)
{
    if (!mayBeReplaced(now, request))
        return std::nullopt;
    // Asked again and again while the silence lasts, but counted as denied only once.
    if (request.isSilenceRecorded && !m_retryBudget.allows(now, request.service, m_peers.entryCount(now)))
        return std::nullopt;
    auto found = m_fleet.choose(queryFor(now, number, request));
    logWorkNews();
    if (!found || !hasFreeSlot(*found))
        return std::nullopt;
    const auto outage = m_outages.find(request.service);
    if (outage != m_outages.end() && outage->second.shouldWait(now))
        return std::nullopt;
    return takeRetry(now, request.service, line) ? found : std::nullopt;
}

void forwarding_reducer::on(const attempt_silent& event)
{
    const auto found = m_requests.find(event.request);
    if (found == m_requests.end() || found->second.currentEndpoint.empty())
        return;
    request_state& request = found->second;
    log_decision line { "attempt_ended", request.caller.sendId,
        { { "endpoint", request.currentEndpoint.str() }, { "ending", std::string(nameOf(attempt_ending::TimedOut)) },
            { "after_ms", millisecondsText(event.now - request.sentAt) }, { "begun", event.answerBegun ? "true" : "false" } } };
    const auto other = takeReplacement(event.now, event.request, request, line);
    const bool isFirst = !std::exchange(request.isSilenceRecorded, true);
    if (!other) {
        if (isFirst)
            recordKeptSilent(event.now, request, std::move(line));
        return;
    }
    const attempt_ended ended { event.now, event.request, attempt_ending::TimedOut, event.answerBegun, {} };
    if (isFirst)
        m_fleet.recordEnding(event.now, request.currentEndpoint, ended.ending);
    else
        m_fleet.recordCancellation(request.currentEndpoint);
    recordEnding(event.now, request, ended);
    replaceAttempt(event.now, event.request, request, *other, std::move(line));
}

// What silence says of the endpoint counts although the attempt goes on.
void forwarding_reducer::recordKeptSilent(instant now, const request_state& request, log_decision line)
{
    m_fleet.recordSilence(now, request.currentEndpoint);
    line.what = "silent_attempt_kept";
    m_effects.emplace_back(std::move(line));
}

void forwarding_reducer::replaceAttempt(instant now, request_number number, request_state& request, const placement& other, log_decision line)
{
    recordPossibleRun(request);
    m_fleet.work().recordEnd(number);
    m_effects.emplace_back(cancel_forwarded_request { number });
    m_effects.emplace_back(std::move(line));
    const endpoint_id replaced = request.currentEndpoint;
    send(now, number, request, other);
    request.replacedEndpoint = replaced;
}

void forwarding_reducer::recordPossibleRun(request_state& request)
{
    request.mayHaveRun = true;
    request.outageWaitEnd = {};
    request.permitWaitEnd = {};
    request.shareWaitEnd = {};
}

void forwarding_reducer::uncountAttempt(request_state& request)
{
    --request.attempts;
    if (!request.replacedEndpoint.empty())
        std::erase(request.triedEndpoints, std::exchange(request.replacedEndpoint, {}));
}

// A request at a slow rank slows the streams of its whole group until it ends. Elsewhere it resumes after its last event.
void forwarding_reducer::moveStreamsFromSlowEndpoint(instant now, const endpoint_load& slow)
{
    const auto endpoint = slow.slowdownFactor < moveStreamsPaceThreshold ? std::nullopt : m_fleet.latestAtAddress(slow.address);
    if (!endpoint)
        return;
    std::vector<request_number> moving;
    for (const auto& [number, request] : m_requests) {
        const route& matchedRoute = *request.matchedRoute;
        const bool mayMove = matchedRoute.kind == route_kind::Stream && matchedRoute.resumable && request.attempts < matchedRoute.maxAttempts;
        if (request.currentEndpoint == *endpoint && mayMove && m_fleet.hasOtherFastEndpoint(now, request.service, *endpoint))
            moving.push_back(number);
    }
    for (const request_number number : moving) {
        request_state& request = m_requests.at(number);
        log_decision line { "left_slow_endpoint", request.caller.sendId,
            { { "endpoint", endpoint->str() }, { "pace", std::to_string(slow.slowdownFactor) }, { "after_ms", millisecondsText(now - request.sentAt) } } };
        const auto other = takeReplacement(now, number, request, line);
        if (!other)
            continue;
        m_fleet.recordCancellation(*endpoint);
        replaceAttempt(now, number, request, *other, std::move(line));
    }
}

} // namespace appleramp
