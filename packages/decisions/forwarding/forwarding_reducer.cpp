#include "decisions/forwarding/forwarding_reducer.h"

#include "decisions/forwarding/durations.h"

#include <algorithm>
#include <utility>

namespace appleramp {

namespace {

// Least Retry-After of refusals that should clear soon: a missing or old configuration, or no usable endpoint at the moment.
constexpr duration shortRetryAfterMin = std::chrono::milliseconds(200);
// Upper bound of the random addition, so that callers refused together do not retry together.
constexpr duration shortRetryAfterJitter = std::chrono::milliseconds(600);
// Least Retry-After while the store or a whole service is unavailable: both last for seconds, and a caller may retry only
// once.
constexpr duration longRetryAfterMin = std::chrono::milliseconds(1400);
constexpr duration longRetryAfterJitter = std::chrono::milliseconds(1200);
// Least Retry-After while all streams of a service are stalled. With the jitter it takes at most a third of the caller's
// time, and by then the group is working again, so that the caller need not queue.
constexpr duration stallRetryAfterMin = std::chrono::milliseconds(1800);
constexpr duration stallRetryAfterJitter = std::chrono::milliseconds(800);
// Fraction of new streams that is shed, per unit by which the slot utilization exceeds its limit. Utilization reports are
// some hundred milliseconds old, so shedding all or none would oscillate.
constexpr double shedFractionPerExcess = 3.0;
// During a brief outage of its service a request waits in steps, for at most maxOutageWait or its time left divided by
// outageWaitDivisor, whichever is shorter.
constexpr duration maxOutageWait = std::chrono::milliseconds(1500);
constexpr int outageWaitDivisor = 5;
constexpr duration outageWaitStep = std::chrono::milliseconds(100);
// Timeout for a stream's first event, after which another endpoint is tried, in latency targets.
constexpr double firstEventTimeoutFactor = 2.4;
// Timeout for the first event of a request that is placed by its work, in expected times.
constexpr int expectedFirstEventTimeoutFactor = 3;
// Timeout between two events of a stream, after which another endpoint is tried, in pause targets.
constexpr double eventGapTimeoutFactor = 6.0;
// Timeout for the answer to an idempotent request that is no stream, after which another endpoint is tried, in latency
// targets.
constexpr double plainAnswerTimeoutFactor = 0.6;
// Random addition to the pause that an endpoint asks for, as a fraction of it and at most.
constexpr double pauseSpread = 0.2;
constexpr duration maxPauseSpread = std::chrono::seconds(1);
// Time without an event from which the process counts as having stood still, and in which it handles what arrived meanwhile.
constexpr duration standstillGap = std::chrono::milliseconds(500);
constexpr duration backlogTime = std::chrono::seconds(1);
// For callers and routes that set no timeout.
constexpr duration defaultTimeout = std::chrono::seconds(60);

} // namespace

forwarding_reducer::forwarding_reducer(instant startedAt, forwarding_settings settings)
    : m_settings(std::move(settings))
    , m_freshness(m_settings.freshness)
    , m_retryBudget(startedAt, m_settings.retryBudget)
    , m_startedAt(startedAt)
    , m_fleet(m_settings.fleet)
    , m_peers(startedAt, m_settings.peers)
    , m_startingRequests(startedAt, m_settings.longestStartWait)
    , m_random(m_settings.seed)
    , m_latestTime(startedAt)
{
}

// The timer ticks several times a second, so that a larger gap means that the process stood still. What arrived meanwhile waits in its
// sockets, and is handled soon after.
void forwarding_reducer::recordTime(instant now)
{
    if (now - m_latestTime >= standstillGap) {
        m_newsDelay = now - m_latestTime;
        m_newsDelayedUntil = now + backlogTime;
    } else if (now >= m_newsDelayedUntil)
        m_newsDelay = {};
    m_latestTime = std::max(m_latestTime, now);
    m_now = now;
}

forwarding_effects forwarding_reducer::handle(const forwarding_event& event)
{
    std::visit(
        [this](const auto& concrete) {
            if constexpr (requires { concrete.now; })
                recordTime(concrete.now);
            on(concrete);
        },
        event);
    sendRoomWaiting(m_latestTime);
    return std::exchange(m_effects, {});
}

bool forwarding_reducer::isReady(instant now) const
{
    return m_routes && m_freshness.allowsKeyUse(now) && m_fleet.size() > 0 && areConvictionsKnown(now);
}

double forwarding_reducer::randomFraction()
{
    return std::uniform_real_distribution<double>(0, 1)(m_random);
}

duration forwarding_reducer::shortRetryAfter() { return shortRetryAfterMin + scaled(shortRetryAfterJitter, randomFraction()); }

duration forwarding_reducer::longRetryAfter() { return longRetryAfterMin + scaled(longRetryAfterJitter, randomFraction()); }

duration forwarding_reducer::confirmationRetryAfter(instant now, const caller_request& caller, duration usual)
{
    const auto spread = m_settings.spreadOutageRetries ? m_storeOutage.retryAfter(now, caller.timeout.value_or(defaultTimeout), randomFraction()) : std::nullopt;
    return spread.value_or(usual);
}

// When every endpoint of the service asked for a pause, callers come back after the first of them ends.
duration forwarding_reducer::retryAfterPause(instant now, const service_id& service)
{
    const auto resumed = m_fleet.allPausedUntil(now, service);
    return shortRetryAfter() + (resumed ? *resumed - now : duration::zero());
}

void forwarding_reducer::accept(instant now, request_number number, request_state request)
{
    if (!admit(now, number, request))
        return;
    m_retryBudget.recordRequest(now, request.service);
    m_fleet.recordDemand(now, request.service);
    recordRoomArrival(now, request);
    const auto [inserted, isNew] = m_requests.emplace(number, std::move(request));
    place(now, number, inserted->second);
}

bool forwarding_reducer::admit(instant now, request_number number, request_state& request)
{
    const auto refuseWith = [&](refusal_reason reason, std::optional<duration> retryAfter) {
        refuse(number, request, reason, retryAfter);
        return false;
    };
    if (!request.routes || !areConvictionsKnown(now))
        return refuseWith(refusal_reason::NotReady, confirmationRetryAfter(now, request.caller, shortRetryAfter()));
    request.matchedRoute = request.routes->find(request.caller.host, request.caller.path);
    const bool allowsDefiniteRefusal = m_freshness.allowsDefiniteRefusal(now);
    if (request.matchedRoute == nullptr || request.matchedRoute->services.empty())
        return allowsDefiniteRefusal ? refuseWith(refusal_reason::UnknownRoute, {}) : refuseWith(refusal_reason::NotReady, shortRetryAfter());
    request.urgencyRank = request.matchedRoute->urgencyRank;
    if (request.routes->requiresKeys() && !request.matchedRoute->isPublic) {
        if (!m_freshness.allowsKeyUse(now))
            return refuseWith(refusal_reason::NotReady, confirmationRetryAfter(now, request.caller, longRetryAfter()));
        const team* const callerTeam = request.routes->teamForKey(request.caller.apiKey);
        if (callerTeam == nullptr && !request.routes->knowsAllKeys())
            return refuseWith(refusal_reason::NotReady, longRetryAfter());
        if (callerTeam == nullptr)
            return allowsDefiniteRefusal ? refuseWith(refusal_reason::UnknownKey, {}) : refuseWith(refusal_reason::NotReady, shortRetryAfter());
        request.team = callerTeam->id;
        request.urgencyRank = callerTeam->urgencyRank.value_or(request.urgencyRank);
    }
    request.suspects = { { suspect_kind::Request, request.caller.contentHash } };
    for (const std::uint64_t part : request.caller.sharedPromptParts)
        request.suspects.push_back({ suspect_kind::PromptPart, part });
    request.service = pickServiceByWeight(*request.matchedRoute, randomFraction());
    const duration callerTimeout = request.caller.timeout.value_or(defaultTimeout);
    const duration routeTimeout = request.matchedRoute->timeout > duration::zero() ? request.matchedRoute->timeout : defaultTimeout;
    request.deadline = request.arrivedAt + std::min(callerTimeout, routeTimeout);
    if (!canEndBeforeStop(now, request))
        return refuseWith(refusal_reason::Stopping, duration::zero());
    return true;
}

void forwarding_reducer::place(instant now, request_number number, request_state& request)
{
    if (request.deadline - now < minTimeLeft)
        return refusePlacement(number, request, request.mayHaveRun ? refusal_reason::TimedOut : refusal_reason::ExpiredBeforeRun, {});
    if (const auto suspicion = suspicionAgainst(now, number, request))
        return refusePlacement(number, request, request.mayHaveRun ? refusal_reason::OutcomeUnknown : suspicion->reason, suspicion->retryAfter);
    if (deferDuringOutage(now, number, request))
        return;
    room_gate* const room = sharedRoom(request.service);
    if (room != nullptr && !passRoom(now, number, request, *room))
        return;
    if (const auto retryAfter = room == nullptr && request.attempts == 0 ? overloadRetryAfter(now, request) : std::nullopt)
        return refusePlacement(number, request, refusal_reason::NoCapacity, retryAfter);
    const placement_query query = queryFor(now, number, request);
    const auto found = m_fleet.choose(query);
    logWorkNews();
    if (found ? !found->isFirstRequest && borrowFirstRequest(now, number, request, query) : waitForPermit(now, number, request, query) || waitForShare(now, number, request, query))
        return;
    leavePermitQueue(number, request);
    if (!found) {
        // Endpoints that are only at their cold rate limit or in backoff accept requests again within a second.
        const bool isTemporary = m_fleet.failureReason(now, request.service) == placement_failure::TemporarilyUnavailable;
        if (!isTemporary) {
            m_outages[request.service].recordRejection(now);
            if (deferDuringOutage(now, number, request))
                return;
        }
        if (isTemporary && waitForOpenEndpoint(now, number, request))
            return;
        duration retryAfter = isTemporary ? retryAfterPause(now, request.service) : longRetryAfter();
        if (m_fleet.areAllLimited(query))
            retryAfter = std::max(retryAfter, longRetryAfter());
        return refusePlacement(number, request, request.mayHaveRun ? refusal_reason::OutcomeUnknown : refusal_reason::NoCapacity, retryAfter);
    }
    const auto admission = admission_gate::decide({ .load = found->load,
                                                      .slots = found->slots,
                                                      .answerTime = m_fleet.meanAnswerTime(request.service),
                                                      .latencyTarget = request.matchedRoute->latencyTarget,
                                                      .timeLeft = request.deadline - now,
                                                      .urgencyRank = request.urgencyRank },
        randomFraction());
    if (room == nullptr && !admission.admitted && !request.mayHaveRun)
        return refusePlacement(number, request, refusal_reason::NoCapacity, admission.retryAfter);
    send(now, number, request, *found);
}

bool forwarding_reducer::deferDuringOutage(instant now, request_number number, request_state& request)
{
    const auto outage = m_outages.find(request.service);
    if (outage == m_outages.end() || !outage->second.shouldWait(now))
        return false;
    if (request.outageWaitEnd == instant {})
        request.outageWaitEnd = now + std::min(maxOutageWait, (request.deadline - now) / outageWaitDivisor);
    if (now >= request.outageWaitEnd)
        return false;
    const instant until = std::min(now + outageWaitStep + scaled(outageWaitStep, randomFraction()), request.outageWaitEnd);
    m_effects.emplace_back(wait_for_service { number, until });
    m_effects.emplace_back(log_decision { "waits_for_service", request.caller.sendId,
        { { "service", request.service.str() }, { "for_ms", millisecondsText(until - now) }, { "sends", std::to_string(request.attempts) } } });
    return true;
}

void forwarding_reducer::on(const service_wait_ended& event)
{
    if (m_startingRequests.contains(event.request))
        return retryStartingRequest(event.now, event.request);
    const auto found = m_requests.find(event.request);
    // A wake-up that was scheduled before the request was sent must not send it again.
    if (found != m_requests.end() && found->second.currentEndpoint.empty())
        place(event.now, event.request, found->second);
}

std::optional<duration> forwarding_reducer::stallRetryAfter(instant now, const request_state& request)
{
    const auto pace = m_streamPaces.find(request.service);
    if (request.matchedRoute->kind != route_kind::Stream || pace == m_streamPaces.end() || !pace->second.isStalled(now, m_fleet.inFlight(request.service)))
        return std::nullopt;
    return stallRetryAfterMin + scaled(stallRetryAfterJitter, randomFraction());
}

std::optional<duration> forwarding_reducer::overloadRetryAfter(instant now, const request_state& request)
{
    if (const auto retryAfter = stallRetryAfter(now, request))
        return retryAfter;
    const auto pace = m_streamPaces.find(request.service);
    if (request.matchedRoute->kind != route_kind::Stream || pace == m_streamPaces.end())
        return std::nullopt;
    const duration pauseTarget = request.matchedRoute->pauseTarget > duration::zero() ? request.matchedRoute->pauseTarget : m_settings.defaultPauseTarget;
    const double utilizationLimit = pace->second.utilizationLimit(pauseTarget);
    const double excess = (m_fleet.slotUtilization(now, request.service) - utilizationLimit) / utilizationLimit;
    if (utilizationLimit >= 1 || randomFraction() >= shedFractionPerExcess * excess)
        return std::nullopt;
    return longRetryAfter();
}

void forwarding_reducer::send(instant now, request_number number, request_state& request, const placement& chosen)
{
    ++request.attempts;
    request.answerPieces = 0;
    request.hasFailureAnswer = false;
    request.currentEndpoint = chosen.endpoint;
    request.sentAt = now;
    request.isSilenceRecorded = false;
    request.replacedEndpoint = {};
    request.triedEndpoints.push_back(chosen.endpoint);
    m_fleet.recordSend(now, chosen.endpoint);
    const route& matchedRoute = *request.matchedRoute;
    const bool isStream = matchedRoute.kind == route_kind::Stream;
    send_attempt attempt { .request = number,
        .endpoint = chosen.endpoint,
        .address = chosen.address,
        .service = request.service,
        .team = request.team,
        .timeLeft = request.deadline - now,
        .requiresNewConnection = !matchedRoute.repeatable(),
        .isStream = isStream,
        .urgencyRank = request.urgencyRank };
    if (chosen.reportAge >= duration::zero())
        attempt.loadReportAge = chosen.reportAge;
    if (matchedRoute.repeatable() && request.attempts < matchedRoute.maxAttempts) {
        attempt.answerStartTimeout = scaled(matchedRoute.latencyTarget, isStream ? firstEventTimeoutFactor : plainAnswerTimeoutFactor);
        // Long prompts take longer at any endpoint, so that a repeat would only be more work.
        attempt.answerStartTimeout = std::max(attempt.answerStartTimeout, chosen.forecast.firstEvent * expectedFirstEventTimeoutFactor);
        const duration pauseTarget = matchedRoute.pauseTarget > duration::zero() ? matchedRoute.pauseTarget : m_settings.defaultPauseTarget;
        attempt.eventGapTimeout = isStream ? scaled(pauseTarget, eventGapTimeoutFactor) : duration::zero();
    }
    m_effects.emplace_back(std::move(attempt));
    log_decision line { "placed", request.caller.sendId,
        { { "endpoint", chosen.endpoint.str() }, { "service", request.service.str() },
            { "load", std::to_string(chosen.load) }, { "load_age_ms", millisecondsText(chosen.reportAge) },
            { "send", std::to_string(request.attempts) },
            { "configuration", std::to_string(request.routes->version()) } } };
    recordPlacedWork(number, request, chosen, line);
    m_effects.emplace_back(std::move(line));
}

void forwarding_reducer::on(const attempt_ended& event)
{
    const auto found = m_requests.find(event.request);
    if (found == m_requests.end())
        return;
    request_state& request = found->second;
    m_fleet.recordEnding(event.now, request.currentEndpoint, event.ending);
    recordEnding(event.now, request, event);
    if (event.retryAfter)
        pauseEndpoint(event.now, request, *event.retryAfter);
    if (executionStatusAfter(event.ending) != execution_status::NotRun)
        recordPossibleRun(request);
    request.hasFailureAnswer = event.ending == attempt_ending::FailureAnswer && !event.answerBegun;
    log_decision line { "attempt_ended", request.caller.sendId,
        { { "endpoint", request.currentEndpoint.str() }, { "ending", std::string(nameOf(event.ending)) },
            { "after_ms", millisecondsText(event.now - request.sentAt) }, { "begun", event.answerBegun ? "true" : "false" } } };
    if (event.defect != response_defect::None)
        line.inputs.emplace_back("defect", std::string(nameOf(event.defect)));
    // The request is at no endpoint while it waits for its next attempt.
    request.currentEndpoint = {};
    m_fleet.work().recordEnd(event.request);
    const bool isRetried = tryTakeRetry(event.now, request, event, line);
    m_effects.emplace_back(std::move(line));
    if (isRetried) {
        place(event.now, event.request, request);
        return;
    }
    finishFailedRequest(event.request, request, event);
    forget(event.request);
}

bool forwarding_reducer::takeRetry(instant now, const service_id& service, log_decision& line)
{
    const std::size_t entries = m_peers.entryCount(now);
    const retry_usage before = m_retryBudget.usage(now, service, entries);
    const bool granted = m_retryBudget.tryTake(now, service, entries);
    line.inputs.insert(line.inputs.end(),
        { { "retry", granted ? "granted" : "denied" }, { "retries_used", std::to_string(before.used) },
            { "retries_allowed", std::to_string(before.allowed) }, { "entries", std::to_string(entries) } });
    return granted;
}

bool forwarding_reducer::tryTakeRetry(instant now, request_state& request, const attempt_ended& event, log_decision& line)
{
    const route& matchedRoute = *request.matchedRoute;
    if (!mayRetry(matchedRoute, event.ending) || request.deadline - now < minTimeLeft)
        return false;
    if (event.answerBegun && !matchedRoute.resumable)
        return false;
    // No endpoint received the request, so the attempt does not count; triedEndpoints bounds the number of endpoints.
    if (event.ending == attempt_ending::NotSent) {
        uncountAttempt(request);
        return request.triedEndpoints.size() <= matchedRoute.maxAttempts + 1;
    }
    // The request ran at an endpoint that was sound, and gave it up for one that did not run it.
    if (executionStatusAfter(event.ending) == execution_status::NotRun && !request.replacedEndpoint.empty())
        uncountAttempt(request);
    if (request.attempts >= matchedRoute.maxAttempts)
        return false;
    if (!request.team.empty() && !m_freshness.allowsKeyUse(now))
        return false;
    return takeRetry(now, request.service, line);
}

void forwarding_reducer::recordEnding(instant now, const request_state& request, const attempt_ended& event)
{
    recordSuspiciousEnding(now, request, event);
    recordOutcome(now, request, event.ending);
    if (event.ending == attempt_ending::Rejected)
        m_outages[request.service].recordRejection(now);
    else if (executionStatusAfter(event.ending) != execution_status::NotRun)
        m_outages[request.service].recordProgress();
}

void forwarding_reducer::pauseEndpoint(instant now, const request_state& request, duration time)
{
    // The entries resume at different times, so that the endpoint does not get all of their first requests at once.
    const duration spread = std::min(scaled(time, pauseSpread), maxPauseSpread);
    const duration pause = time + scaled(spread, randomFraction());
    m_fleet.pause(request.currentEndpoint, now + pause);
    m_effects.emplace_back(log_decision { "endpoint_paused", request.caller.sendId,
        { { "endpoint", request.currentEndpoint.str() }, { "asked_ms", millisecondsText(time) }, { "for_ms", millisecondsText(pause) } } });
}

void forwarding_reducer::on(const attempt_succeeded& event)
{
    const auto found = m_requests.find(event.request);
    if (found == m_requests.end())
        return;
    const request_state& request = found->second;
    recordSound(event.now, request);
    m_outages[request.service].recordProgress();
    m_fleet.recordAnswer(event.now, request.currentEndpoint, event.now - request.sentAt);
    recordAnswerTime(event.now, request);
    log_decision line { "answered", request.caller.sendId,
        { { "endpoint", request.currentEndpoint.str() }, { "took_ms", millisecondsText(event.now - request.arrivedAt) },
            { "sends", std::to_string(request.attempts) } } };
    recordAnsweredWork(event.now, request, line);
    m_effects.emplace_back(std::move(line));
    forget(event.request);
}

void forwarding_reducer::on(const stream_advanced& event)
{
    const auto found = m_requests.find(event.request);
    if (found == m_requests.end())
        return;
    if (found->second.answerPieces == 0)
        m_fleet.recordFirstEvent(event.now, found->second.currentEndpoint, event.now - found->second.sentAt);
    recordAnswerPiece(event.now, found->second);
    if (!event.pause)
        recordFirstEvent(event.now, event.request, found->second);
    m_outages[found->second.service].recordProgress();
    m_streamPaces[found->second.service].recordEvent(event.now, event.pause);
}

void forwarding_reducer::on(const caller_disconnected& event)
{
    if (forgetStartingRequest(event.now, event.request))
        return;
    const auto found = m_requests.find(event.request);
    if (found == m_requests.end())
        return;
    recordCancelledAttempt(event.now, found->second);
    m_fleet.recordCancellation(found->second.currentEndpoint);
    m_effects.emplace_back(cancel_forwarded_request { event.request });
    m_effects.emplace_back(log_decision { "caller_left", found->second.caller.sendId,
        { { "endpoint", found->second.currentEndpoint.str() },
            { "after_ms", millisecondsText(event.now - found->second.arrivedAt) } } });
    forget(event.request);
}

void forwarding_reducer::on(const deadline_passed& event)
{
    const auto found = m_requests.find(event.request);
    if (found == m_requests.end())
        return;
    recordCancelledAttempt(event.now, found->second);
    m_fleet.recordEnding(event.now, found->second.currentEndpoint, attempt_ending::TimedOut);
    recordOutcome(event.now, found->second, attempt_ending::TimedOut);
    m_effects.emplace_back(cancel_forwarded_request { event.request });
    if (event.answerBegun)
        m_effects.emplace_back(abort_answer { event.request });
    else
        refuse(event.request, found->second, refusal_reason::TimedOut, {});
    forget(event.request);
}

} // namespace appleramp
