#include "decisions/forwarding/forwarding_reducer.h"

#include <algorithm>
#include <utility>

namespace appleramp {

namespace {

// Shortest wait before a caller that was refused for want of knowledge or of a usable endpoint comes back.
constexpr duration soonestReturn = std::chrono::milliseconds(200);
// Added at random, so that callers refused together do not return together.
constexpr duration returnSpread = std::chrono::milliseconds(600);
// Where the store is away, or a whole service is: both take seconds, and a caller may return only once.
constexpr duration outageReturn = std::chrono::milliseconds(1400);
constexpr duration outageSpread = std::chrono::milliseconds(1200);
// Where no stream of a service advances. A caller stays away for a third of its time at most, and finds the group at work
// again rather than in its queue.
constexpr duration standstillReturn = std::chrono::milliseconds(1800);
constexpr duration standstillSpread = std::chrono::milliseconds(800);
// Part of the new streams that is refused for each part by which the fill exceeds what is bearable: entries know the fill
// of some hundred milliseconds ago, and refusing all or none would swing.
constexpr double shedPerExcess = 3.0;
// A request waits for a service that is back soon, in steps, this long at most and for no more than this part of its time.
constexpr duration longestWait = std::chrono::milliseconds(1500);
constexpr int waitPart = 5;
constexpr duration waitStep = std::chrono::milliseconds(100);
// Less time than this is no use to an endpoint.
constexpr duration leastTimeLeft = std::chrono::milliseconds(20);
// Silence before a stream's first event after which another endpoint is tried, in latency targets.
constexpr double firstSilenceTargets = 2.4;
// Silence between events after which another endpoint is tried, in pause targets.
constexpr double laterSilencePauses = 6.0;
// Silence of a plain idempotent request after which another endpoint is tried, in latency targets.
constexpr double plainSilenceTargets = 0.6;
// A caller that gives no timeout.
constexpr duration longestTimeout = std::chrono::seconds(60);

duration scaled(duration time, double factor)
{
    return duration(static_cast<duration::rep>(static_cast<double>(time.count()) * factor));
}

std::string millisecondsText(duration time)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

} // namespace

std::string_view nameOf(refusal_reason reason)
{
    switch (reason) {
    case refusal_reason::NotReady:
        return "not_ready";
    case refusal_reason::UnknownRoute:
        return "unknown_route";
    case refusal_reason::UnknownKey:
        return "unknown_key";
    case refusal_reason::NoCapacity:
        return "no_capacity";
    case refusal_reason::BreaksEndpoints:
        return "breaks_endpoints";
    case refusal_reason::ExpiredUnrun:
        return "expired_unrun";
    case refusal_reason::OutcomeUnknown:
        return "outcome_unknown";
    case refusal_reason::TimedOut:
        break;
    }
    return "timed_out";
}

bool promisesNotRun(refusal_reason reason)
{
    return reason != refusal_reason::OutcomeUnknown && reason != refusal_reason::TimedOut;
}

forwarding_reducer::forwarding_reducer(instant startedAt, forwarding_settings settings)
    : m_settings(std::move(settings))
    , m_freshness(m_settings.freshness)
    , m_repeats(m_settings.repeats)
    , m_fleet(m_settings.fleet)
    , m_peers(startedAt, m_settings.peers)
    , m_random(m_settings.seed)
{
}

forwarding_effects forwarding_reducer::handle(const forwarding_event& event)
{
    std::visit(
        [this](const auto& concrete) {
            if constexpr (requires { concrete.now; })
                m_now = concrete.now;
            on(concrete);
        },
        event);
    return std::exchange(m_effects, {});
}

bool forwarding_reducer::isReady(instant now) const
{
    return m_routes && m_freshness.allowsKeys(now) && m_fleet.size() > 0;
}

double forwarding_reducer::draw()
{
    return std::uniform_real_distribution<double>(0, 1)(m_random);
}

duration forwarding_reducer::soon() { return soonestReturn + scaled(returnSpread, draw()); }

duration forwarding_reducer::later() { return outageReturn + scaled(outageSpread, draw()); }

void forwarding_reducer::on(const request_arrived& event)
{
    request_state request { .caller = event.caller, .table = m_routes, .arrivedAt = event.now };
    if (!admit(event.now, event.request, request))
        return;
    m_repeats.noteRequest(event.now, request.service);
    const auto [held, isNew] = m_requests.emplace(event.request, std::move(request));
    place(event.now, event.request, held->second);
}

bool forwarding_reducer::admit(instant now, request_number number, request_state& request)
{
    const auto refused = [&](refusal_reason reason, std::optional<duration> retryAfter) {
        refuse(number, request, reason, retryAfter);
        return false;
    };
    if (!request.table)
        return refused(refusal_reason::NotReady, soon());
    request.taken = request.table->find(request.caller.host, request.caller.path);
    const bool definite = m_freshness.allowsDefiniteRefusal(now);
    if (request.taken == nullptr || request.taken->services.empty())
        return definite ? refused(refusal_reason::UnknownRoute, {}) : refused(refusal_reason::NotReady, soon());
    request.urgencyRank = request.taken->urgencyRank;
    if (request.table->asksForKeys() && !request.taken->isPublic) {
        if (!m_freshness.allowsKeys(now))
            return refused(refusal_reason::NotReady, later());
        const team* const owner = request.table->teamOfKey(request.caller.apiKey);
        if (owner == nullptr)
            return definite ? refused(refusal_reason::UnknownKey, {}) : refused(refusal_reason::NotReady, soon());
        request.team = owner->id;
        request.urgencyRank = owner->urgencyRank.value_or(request.urgencyRank);
    }
    if (m_suspects.refuses(now, request.caller.contentHash))
        return refused(refusal_reason::BreaksEndpoints, {});
    request.service = serviceByWeight(*request.taken, draw());
    const duration given = request.caller.timeout.value_or(longestTimeout);
    const duration allowed = request.taken->timeout > duration::zero() ? request.taken->timeout : longestTimeout;
    request.deadline = now + std::min(given, allowed);
    return true;
}

void forwarding_reducer::place(instant now, request_number number, request_state& request)
{
    if (request.deadline - now < leastTimeLeft) {
        refuse(number, request, request.mayHaveRun ? refusal_reason::TimedOut : refusal_reason::ExpiredUnrun, {});
        m_requests.erase(number);
        return;
    }
    if (waitsForService(now, number, request))
        return;
    if (const auto retryAfter = request.sends == 0 ? heldOff(now, request) : std::nullopt) {
        refuse(number, request, refusal_reason::NoCapacity, retryAfter);
        m_requests.erase(number);
        return;
    }
    const service_description* const service = request.table->service(request.service);
    const auto found = m_fleet.choose({ .now = now,
        .service = request.service,
        .zone = m_settings.zone,
        .sharers = m_peers.sharers(now),
        .excluded = request.tried,
        .coldRequestsPerSecond = service == nullptr ? 0 : service->coldRequestsPerSecond,
        .point = draw() });
    if (!found) {
        // Endpoints that are only at their rate, or left alone for a moment, take requests again within a second.
        const bool isBrief = m_fleet.obstacle(request.service) == placement_obstacle::AllAtColdRate;
        if (!isBrief) {
            m_outages[request.service].noteRejected(now);
            if (waitsForService(now, number, request))
                return;
        }
        const duration retryAfter = isBrief ? soon() : later();
        refuse(number, request, request.mayHaveRun ? refusal_reason::OutcomeUnknown : refusal_reason::NoCapacity, retryAfter);
        m_requests.erase(number);
        return;
    }
    const auto verdict = admission_gate::judge({ .load = found->load,
                                                   .slots = found->slots,
                                                   .occupancy = m_fleet.occupancy(request.service),
                                                   .latencyTarget = request.taken->latencyTarget,
                                                   .timeLeft = request.deadline - now,
                                                   .urgencyRank = request.urgencyRank },
        draw());
    if (!verdict.admitted && !request.mayHaveRun) {
        refuse(number, request, refusal_reason::NoCapacity, verdict.retryAfter);
        m_requests.erase(number);
        return;
    }
    send(now, number, request, *found);
}

bool forwarding_reducer::waitsForService(instant now, request_number number, request_state& request)
{
    const auto outage = m_outages.find(request.service);
    if (outage == m_outages.end() || !outage->second.shouldWait(now))
        return false;
    if (request.waitsUntil == instant {})
        request.waitsUntil = now + std::min(longestWait, (request.deadline - now) / waitPart);
    if (now >= request.waitsUntil)
        return false;
    const instant until = std::min(now + waitStep + scaled(waitStep, draw()), request.waitsUntil);
    m_effects.emplace_back(wait_for_service { number, until });
    m_effects.emplace_back(log_decision { "waits_for_service", request.caller.sendId,
        { { "service", request.service.str() }, { "for_ms", millisecondsText(until - now) }, { "sends", std::to_string(request.sends) } } });
    return true;
}

void forwarding_reducer::on(const wait_over& event)
{
    const auto found = m_requests.find(event.request);
    if (found != m_requests.end())
        place(event.now, event.request, found->second);
}

std::optional<duration> forwarding_reducer::heldOff(instant now, const request_state& request)
{
    const auto pace = m_paces.find(request.service);
    if (request.taken->kind != route_kind::Stream || pace == m_paces.end())
        return std::nullopt;
    if (pace->second.standsStill(now, m_fleet.inFlight(request.service)))
        return standstillReturn + scaled(standstillSpread, draw());
    const duration target = request.taken->pauseTarget > duration::zero() ? request.taken->pauseTarget : m_settings.defaultPause;
    const double bearable = pace->second.bearableFill(target);
    const double excess = (m_fleet.fill(now, request.service) - bearable) / bearable;
    if (bearable >= 1 || draw() >= shedPerExcess * excess)
        return std::nullopt;
    return later();
}

void forwarding_reducer::send(instant now, request_number number, request_state& request, const placement& place)
{
    ++request.sends;
    request.current = place.endpoint;
    request.sentAt = now;
    request.tried.push_back(place.endpoint);
    m_fleet.noteSent(now, place.endpoint);
    const route& taken = *request.taken;
    const bool isStream = taken.kind == route_kind::Stream;
    send_attempt attempt { .request = number,
        .endpoint = place.endpoint,
        .address = place.address,
        .service = request.service,
        .team = request.team,
        .timeLeft = request.deadline - now,
        .onlyNewConnection = !taken.repeatable(),
        .isStream = isStream,
        .urgencyRank = request.urgencyRank };
    if (taken.repeatable() && request.sends < taken.maxAttempts) {
        attempt.firstSilence = scaled(taken.latencyTarget, isStream ? firstSilenceTargets : plainSilenceTargets);
        const duration pause = taken.pauseTarget > duration::zero() ? taken.pauseTarget : m_settings.defaultPause;
        attempt.laterSilence = isStream ? scaled(pause, laterSilencePauses) : duration::zero();
    }
    m_effects.emplace_back(std::move(attempt));
    m_effects.emplace_back(log_decision { "placed", request.caller.sendId,
        { { "endpoint", place.endpoint.str() }, { "service", request.service.str() },
            { "load", std::to_string(place.load) }, { "load_age_ms", millisecondsText(place.reportAge) },
            { "send", std::to_string(request.sends) },
            { "configuration", std::to_string(request.table->version()) } } });
}

void forwarding_reducer::on(const attempt_ended& event)
{
    const auto found = m_requests.find(event.request);
    if (found == m_requests.end())
        return;
    request_state& request = found->second;
    m_fleet.noteEnded(event.now, request.current, event.ending);
    noteEnding(event.now, request, event.ending);
    if (proofOf(event.ending) != run_proof::NotRun)
        request.mayHaveRun = true;
    m_effects.emplace_back(log_decision { "attempt_ended", request.caller.sendId,
        { { "endpoint", request.current.str() }, { "ending", std::string(nameOf(event.ending)) },
            { "after_ms", millisecondsText(event.now - request.sentAt) }, { "begun", event.answerBegun ? "true" : "false" } } });
    // While it waits for the next attempt it is nowhere.
    request.current = {};
    if (mayGoOn(event.now, request, event)) {
        place(event.now, event.request, request);
        return;
    }
    concludeEnded(event.request, request, event);
    m_requests.erase(event.request);
}

bool forwarding_reducer::mayGoOn(instant now, request_state& request, const attempt_ended& event)
{
    const route& taken = *request.taken;
    if (!mayRepeat(taken, event.ending) || request.deadline - now < leastTimeLeft)
        return false;
    if (event.answerBegun && !taken.resumable)
        return false;
    // A connection that was never established reached no endpoint.
    if (event.ending == attempt_ending::NotSent) {
        --request.sends;
        return request.tried.size() <= taken.maxAttempts + 1;
    }
    if (request.sends >= taken.maxAttempts)
        return false;
    if (!request.team.empty() && !m_freshness.allowsKeys(now))
        return false;
    return m_repeats.take(now, request.service, m_peers.sharers(now));
}

void forwarding_reducer::concludeEnded(request_number number, const request_state& request, const attempt_ended& event)
{
    if (event.answerBegun) {
        m_effects.emplace_back(break_answer { number });
        return;
    }
    if (event.ending == attempt_ending::FailureAnswer) {
        m_effects.emplace_back(pass_failure_answer { number });
        return;
    }
    if (request.mayHaveRun)
        return refuse(number, request, refusal_reason::OutcomeUnknown, {});
    refuse(number, request, refusal_reason::NoCapacity, event.retryAfter ? event.retryAfter : soon());
}

void forwarding_reducer::noteEnding(instant now, const request_state& request, attempt_ending ending)
{
    if (ending == attempt_ending::NoAnswer || ending == attempt_ending::CutAnswer)
        m_suspects.noteBroken({ request.caller.contentHash, request.current, request.caller.sendId, now });
    if (ending == attempt_ending::NotSent)
        endpointDown(now, request.current);
    if (ending == attempt_ending::Rejected)
        m_outages[request.service].noteRejected(now);
    else if (proofOf(ending) != run_proof::NotRun)
        m_outages[request.service].noteProgress();
}

void forwarding_reducer::endpointDown(instant now, const endpoint_id& endpoint)
{
    for (const broken_attempt& guilty : m_suspects.endpointDown(now, endpoint))
        m_effects.emplace_back(tell_breakdown { guilty.content, guilty.sendId });
}

void forwarding_reducer::refuse(
    request_number number, const request_state& request, refusal_reason reason, std::optional<duration> retryAfter)
{
    m_effects.emplace_back(refuse_request { number, reason, retryAfter });
    log_decision line { "refused", request.caller.sendId, { { "reason", std::string(nameOf(reason)) } } };
    line.inputs.emplace_back("configuration", std::to_string(configurationVersion()));
    if (const auto age = m_freshness.age(m_now))
        line.inputs.emplace_back("configuration_age_ms", millisecondsText(*age));
    if (request.taken != nullptr)
        line.inputs.emplace_back("route", request.taken->name);
    if (!request.service.empty()) {
        line.inputs.emplace_back("service", request.service.str());
        line.inputs.emplace_back("sends", std::to_string(request.sends));
        line.inputs.emplace_back("fill", std::to_string(m_fleet.fill(m_now, request.service)));
        if (const auto pace = m_paces.find(request.service); pace != m_paces.end())
            line.inputs.emplace_back("pause_ms", millisecondsText(pace->second.pause()));
    }
    if (retryAfter)
        line.inputs.emplace_back("retry_after_ms", millisecondsText(*retryAfter));
    m_effects.emplace_back(std::move(line));
}

void forwarding_reducer::on(const attempt_answered& event)
{
    const auto found = m_requests.find(event.request);
    if (found == m_requests.end())
        return;
    const request_state& request = found->second;
    m_outages[request.service].noteProgress();
    m_fleet.noteAnswered(event.now, request.current, event.now - request.sentAt);
    m_effects.emplace_back(log_decision { "answered", request.caller.sendId,
        { { "endpoint", request.current.str() }, { "took_ms", millisecondsText(event.now - request.arrivedAt) },
            { "sends", std::to_string(request.sends) } } });
    m_requests.erase(found);
}

void forwarding_reducer::on(const stream_advanced& event)
{
    const auto found = m_requests.find(event.request);
    if (found == m_requests.end())
        return;
    m_outages[found->second.service].noteProgress();
    m_paces[found->second.service].noteEvent(event.now, event.pause);
}

void forwarding_reducer::on(const forwarded_caller_left& event)
{
    const auto found = m_requests.find(event.request);
    if (found == m_requests.end())
        return;
    m_fleet.noteCancelled(found->second.current);
    m_effects.emplace_back(cancel_forwarded { event.request });
    m_effects.emplace_back(log_decision { "caller_left", found->second.caller.sendId,
        { { "endpoint", found->second.current.str() },
            { "after_ms", millisecondsText(event.now - found->second.arrivedAt) } } });
    m_requests.erase(found);
}

void forwarding_reducer::on(const deadline_passed& event)
{
    const auto found = m_requests.find(event.request);
    if (found == m_requests.end())
        return;
    m_fleet.noteEnded(event.now, found->second.current, attempt_ending::Silent);
    m_effects.emplace_back(cancel_forwarded { event.request });
    if (event.answerBegun)
        m_effects.emplace_back(break_answer { event.request });
    else
        refuse(event.request, found->second, refusal_reason::TimedOut, {});
    m_requests.erase(found);
}

} // namespace appleramp
