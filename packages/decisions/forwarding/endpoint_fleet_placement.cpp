#include "decisions/forwarding/endpoint_fleet.h"

#include "decisions/membership/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <random>

// The part of the fleet that estimates load and health of endpoints and chooses among them.

namespace appleramp {

namespace {

// Older load reports are ignored.
constexpr duration loadReportMaxAge = std::chrono::milliseconds(2500);
// In requests: an endpoint in another zone must have more than this many fewer to be preferred, since traffic between
// zones costs.
constexpr double crossZoneCost = 1.0;
// Cost of a failure rate of 1, in requests.
constexpr double failureCost = 30.0;
// The failure rate of an endpoint halves in this time without attempts.
constexpr duration failureHalfLife = std::chrono::seconds(3);
// Weights of the newest value in the moving averages of failures and of answer times.
constexpr double failureSmoothing = 0.25;
constexpr double answerTimeSmoothing = 0.15;
// Failure rate up to which an endpoint is not penalized.
constexpr double toleratedFailureRate = 0.05;
// Backoff after a failed connection; doubles each time.
constexpr duration initialConnectBackoff = std::chrono::milliseconds(250);
constexpr duration maxConnectBackoff = std::chrono::seconds(2);
// Backoff after the endpoint rejected a request.
constexpr duration rejectionBackoff = std::chrono::milliseconds(120);
// Backoff after another endpoint answered at the address, until the registry lists the change.
constexpr duration wrongEndpointBackoff = std::chrono::seconds(2);
// Mean answer time relative to the service's mean, from which an endpoint without a load report counts as slow.
constexpr double minSlowdown = 1.3;
constexpr double maxSlowdown = 20.0;
// Additional cost of a slow rank, in requests for each multiple of the published time by which it is slower. The ranks of a
// group step together, so whatever runs at a slow rank slows the streams of all ranks. Paces below the threshold are normal
// variation.
constexpr double slowRankCost = 4.0;
constexpr double slowRankPaceThreshold = 1.25;
// Fractions of a cold endpoint's limit for the entries that subscribe to its reports, which share it by their number, and
// for all others together.
constexpr double subscribersColdShare = 0.75;
constexpr double othersColdShare = 0.25;
// Number of seeds to which the caller's random fraction is mapped.
constexpr double sampleSeedRange = 2'000'000'000.0;

double seconds(duration time) { return std::chrono::duration<double>(time).count(); }

void updateMovingAverage(double& mean, double value, double weight) { mean = mean == 0 ? value : mean + weight * (value - mean); }

} // namespace

void endpoint_fleet::recordLoad(instant now, const endpoint_load& load)
{
    const auto endpoint = latestAtAddress(load.address);
    if (!endpoint)
        return;
    endpoint_state& state = m_endpoints.at(*endpoint);
    state.report = load;
    state.reportedAt = now;
    state.sentSinceReport = 0;
    m_work.recordReport(*endpoint);
    if (const auto service = m_services.find(state.record.service); service != m_services.end() && load.memoryTotal > 0)
        state.unread.recordReport(now, load.memoryUsed, service->second.readTokensPerSecond);
}

bool endpoint_fleet::hasFreshReport(const endpoint_state& state, instant now) const
{
    return state.report && now - state.reportedAt < loadReportMaxAge;
}

double endpoint_fleet::estimatedLoad(const endpoint_state& state, instant now, std::size_t entryCount) const
{
    if (hasFreshReport(state, now))
        return std::max<double>(state.report->running + state.report->waiting + state.sentSinceReport, state.inFlight);
    // An endpoint whose reports do not arrive must not look idle.
    if (state.source != load_source::OwnRequests)
        return std::max<double>(meanReportedLoad(state.record.service, now) + state.inFlight, state.inFlight);
    return static_cast<double>(state.inFlight) * std::max(1.0, 0.5 * static_cast<double>(entryCount));
}

double endpoint_fleet::currentFailureRate(const endpoint_state& state, instant now) const
{
    return state.failureRate * std::exp2(-seconds(now - state.failureRateUpdatedAt) / seconds(failureHalfLife));
}

double endpoint_fleet::slowdown(const endpoint_state& state, instant now) const
{
    if (hasFreshReport(state, now))
        return std::clamp(state.report->slowdownFactor, 1.0, maxSlowdown);
    const auto service = m_services.find(state.record.service);
    if (service == m_services.end() || service->second.meanAnswerSeconds <= 0 || state.meanAnswerSeconds <= 0)
        return 1;
    const double ratio = state.meanAnswerSeconds / service->second.meanAnswerSeconds;
    return ratio < minSlowdown ? 1 : std::min(ratio, maxSlowdown);
}

double endpoint_fleet::cost(const endpoint_state& state, const placement_query& query) const
{
    const double queueCost = (estimatedLoad(state, query.now, query.entryCount) + 1) * slowdown(state, query.now);
    const double failurePenalty = failureCost * std::max(0.0, currentFailureRate(state, query.now) - toleratedFailureRate);
    const double crossZonePenalty = state.record.zone == query.zone ? 0 : crossZoneCost;
    const bool isSlowRank = hasFreshReport(state, query.now) && state.report->slowdownFactor >= slowRankPaceThreshold;
    const double slowRankPenalty = isSlowRank ? slowRankCost * (state.report->slowdownFactor - 1) : 0;
    return queueCost + failurePenalty + crossZonePenalty + slowRankPenalty;
}

bool endpoint_fleet::isInService(const endpoint_state& state, instant now) const
{
    return !state.record.leaving && !m_zonesOutOfService.contains(state.record.zone) && !m_departed.excludes(now, state.record);
}

bool endpoint_fleet::isEligible(const endpoint_state& state, const placement_query& query) const
{
    if (state.record.service != query.service || !isInService(state, query.now) || isReplaced(state))
        return false;
    return std::find(query.excludedEndpoints.begin(), query.excludedEndpoints.end(), state.record.id) == query.excludedEndpoints.end();
}

bool endpoint_fleet::takesRequestNow(endpoint_state& state, const placement_query& query)
{
    return query.now >= std::max(state.avoidUntil, state.pausedUntil) && isWithinColdRate(state, query) && isWithinNamedLimit(state, query);
}

bool endpoint_fleet::isWithinNamedLimit(const endpoint_state& state, const placement_query& query)
{
    const auto rate = m_limits.currentRate(query.now, state.record.id);
    if (!rate)
        return true;
    // The reports of its agent show when such a limit ends, so no request has to find out.
    if (*rate <= endpoint_limits::leastRate && hasFreshReport(state, query.now))
        return false;
    return query.allowsLimited && m_limits.allowsSend(query.now, state.record.id);
}

std::optional<instant> endpoint_fleet::limitOpensAt(const placement_query& query, std::size_t requestsAhead, instant until)
{
    std::vector<instant> times;
    for (const auto& [id, state] : m_endpoints) {
        if (!isEligible(state, query))
            continue;
        if (!m_limits.isLimited(query.now, id))
            return std::nullopt;
        const auto own = m_limits.sendTimes(query.now, id, until);
        std::transform(own.begin(), own.end(), std::back_inserter(times),
            [&state = state](instant time) { return std::max({ time, state.avoidUntil, state.pausedUntil }); });
    }
    if (times.size() <= requestsAhead)
        return std::nullopt;
    std::nth_element(times.begin(), times.begin() + static_cast<std::ptrdiff_t>(requestsAhead), times.end());
    const instant opensAt = times[requestsAhead];
    return opensAt < until ? std::optional(opensAt) : std::nullopt;
}

std::optional<endpoint_limits::borrowable_request> endpoint_fleet::borrowableRequest(const placement_query& query, instant until, double randomFraction)
{
    std::vector<endpoint_id> limited;
    for (const auto& [id, state] : m_endpoints) {
        if (isEligible(state, query) && m_limits.isLimited(query.now, id))
            limited.push_back(id);
    }
    if (limited.empty())
        return std::nullopt;
    const double position = randomFraction * static_cast<double>(limited.size());
    const auto index = static_cast<std::size_t>(position);
    return m_limits.borrowableRequest(query.now, limited[index], until, position - static_cast<double>(index));
}

bool endpoint_fleet::areAllLimited(const placement_query& query) const
{
    bool hasEligible = false;
    for (const auto& [id, state] : m_endpoints) {
        if (!isEligible(state, query))
            continue;
        if (!m_limits.isLimited(query.now, id))
            return false;
        hasEligible = true;
    }
    return hasEligible;
}

// Any endpoint may have turned cold unnoticed, so a limit derived from the cold rate applies to all endpoints.
bool endpoint_fleet::isWithinColdRate(endpoint_state& state, const placement_query& query) const
{
    if (query.coldRequestsPerSecond <= 0)
        return true;
    const bool isCold = query.now < state.recordReceivedAt + state.record.coldFor;
    const double rateLimit = isCold
        ? query.coldRequestsPerSecond
        : m_settings.usableColdFraction * (query.coldRequestsPerSecond * m_settings.coldRateFactor + m_settings.coldRateAllowance);
    const double share = rateLimit * coldRateShare(state, query);
    if (share >= 1)
        return static_cast<double>(state.recentSends.count(query.now)) + 1 <= share;
    const double spacing = 1e6 / share;
    // An endpoint that just came looks idle to all entries at once, so their first sends are spread over the spacing.
    if (state.lastSend < state.availableSince)
        return query.now >= state.availableSince + duration(static_cast<duration::rep>(spacing * phaseOf(state.record.id)));
    return query.now - state.lastSend >= duration(static_cast<duration::rep>(spacing));
}

double endpoint_fleet::phaseOf(const endpoint_id& endpoint) const
{
    const double shift = static_cast<double>(rendezvousScore({}, endpoint.str()) >> 11U) * 0x1p-53;
    return std::fmod(m_entryPosition + shift, 1.0);
}

double endpoint_fleet::coldRateShare(const endpoint_state& state, const placement_query& query) const
{
    const auto entries = static_cast<double>(std::max<std::size_t>(query.entryCount, 1));
    if (state.source == load_source::OwnRequests)
        return 1 / entries;
    const bool isCounted = hasFreshReport(state, query.now) && state.report->subscribers > 0;
    return isCounted ? subscribersColdShare / state.report->subscribers : othersColdShare / entries;
}

std::vector<endpoint_fleet::endpoint_state*> endpoint_fleet::candidates(const placement_query& query, bool onlySubset)
{
    std::vector<endpoint_state*> found;
    for (auto& [id, state] : m_endpoints) {
        if (onlySubset && state.source == load_source::None)
            continue;
        if (isEligible(state, query) && takesRequestNow(state, query))
            found.push_back(&state);
    }
    return found;
}

// Returns the usable endpoints of the subset, or of the whole fleet if there are none; a random sample of them if there are
// more than sampleSize.
std::vector<endpoint_fleet::endpoint_state*> endpoint_fleet::sampleCandidates(const placement_query& query)
{
    auto found = candidates(query, true);
    if (found.empty())
        found = candidates(query, false);
    std::minstd_rand random(static_cast<std::minstd_rand::result_type>(query.randomFraction * sampleSeedRange) + 1);
    std::shuffle(found.begin(), found.end(), random);
    found.resize(std::min(found.size(), m_settings.sampleSize));
    return found;
}

std::optional<placement> endpoint_fleet::choose(const placement_query& query)
{
    if (query.engine != nullptr)
        return chooseByWork(query);
    const auto found = sampleCandidates(query);
    if (found.empty())
        return std::nullopt;
    const auto best = *std::min_element(found.begin(), found.end(),
        [&](const auto* left, const auto* right) { return cost(*left, query) < cost(*right, query); });
    const duration age = best->report ? query.now - best->reportedAt : duration(-1);
    return placement { best->record.id, best->record.address, best->record.slots, estimatedLoad(*best, query.now, query.entryCount), age, best->record.zone, {}, {} };
}

placement_failure endpoint_fleet::failureReason(instant now, const service_id& service) const
{
    bool hasEndpoint = false;
    for (const auto& [id, state] : m_endpoints) {
        if (state.record.service != service)
            continue;
        hasEndpoint = true;
        if (isInService(state, now))
            return placement_failure::TemporarilyUnavailable;
    }
    return hasEndpoint ? placement_failure::AllOutOfService : placement_failure::NoEndpoint;
}

void endpoint_fleet::recordSend(instant now, const endpoint_id& endpoint)
{
    endpoint_state* const state = find(endpoint);
    if (state == nullptr)
        return;
    ++state->inFlight;
    ++state->sentSinceReport;
    state->recentSends.record(now);
    m_limits.recordSend(now, endpoint);
    state->lastSend = now;
}

void endpoint_fleet::recordOutcome(endpoint_state& state, instant now, double failure)
{
    state.failureRate = currentFailureRate(state, now) * (1 - failureSmoothing) + failureSmoothing * failure;
    state.failureRateUpdatedAt = now;
}

void endpoint_fleet::recordAnswer(instant now, const endpoint_id& endpoint, duration answerTime)
{
    endpoint_state* const state = find(endpoint);
    if (state == nullptr)
        return;
    state->inFlight -= std::min(state->inFlight, 1U);
    state->refusedConnections = 0;
    recordOutcome(*state, now, 0);
    updateMovingAverage(state->meanAnswerSeconds, seconds(answerTime), answerTimeSmoothing);
    updateMovingAverage(m_services[state->record.service].meanAnswerSeconds, seconds(answerTime), answerTimeSmoothing);
}

void endpoint_fleet::recordEnding(instant now, const endpoint_id& endpoint, attempt_ending ending)
{
    endpoint_state* const state = find(endpoint);
    if (state == nullptr)
        return;
    state->inFlight -= std::min(state->inFlight, 1U);
    switch (ending) {
    case attempt_ending::NotSent:
        state->avoidUntil = now + std::min(initialConnectBackoff * (1U << std::min(state->refusedConnections, 4U)), maxConnectBackoff);
        ++state->refusedConnections;
        recordOutcome(*state, now, 1);
        break;
    case attempt_ending::Rejected:
        state->avoidUntil = now + rejectionBackoff;
        break;
    case attempt_ending::WrongEndpoint:
        state->avoidUntil = now + wrongEndpointBackoff;
        break;
    case attempt_ending::FailureAnswer:
        recordOutcome(*state, now, 0.5);
        break;
    default:
        recordOutcome(*state, now, 1);
        break;
    }
}

void endpoint_fleet::recordCancellation(const endpoint_id& endpoint)
{
    if (endpoint_state* const state = find(endpoint))
        state->inFlight -= std::min(state->inFlight, 1U);
}

bool endpoint_fleet::hasOtherFastEndpoint(instant now, const service_id& service, const endpoint_id& endpoint) const
{
    return std::any_of(m_endpoints.begin(), m_endpoints.end(), [&](const auto& entry) {
        const endpoint_state& state = entry.second;
        return state.record.service == service && isInService(state, now) && entry.first != endpoint && !m_limits.isLimited(now, entry.first) && hasFreshReport(state, now) && state.report->slowdownFactor < slowRankPaceThreshold
            && now >= std::max(state.avoidUntil, state.pausedUntil);
    });
}

double endpoint_fleet::slotUtilization(instant now, const service_id& service) const
{
    double requests = 0;
    double slots = 0;
    for (const auto& [id, state] : m_endpoints) {
        // The slots of an endpoint that names a limit stay empty whatever the load.
        if (state.record.service != service || !hasFreshReport(state, now) || m_limits.isLimited(now, id))
            continue;
        requests += state.report->running + state.report->waiting;
        slots += state.record.slots;
    }
    return slots > 0 ? requests / slots : 0;
}

double endpoint_fleet::meanReportedLoad(const service_id& service, instant now) const
{
    double requests = 0;
    std::size_t reports = 0;
    for (const auto& [id, state] : m_endpoints) {
        if (state.source != load_source::Subscription || state.record.service != service || !hasFreshReport(state, now))
            continue;
        requests += state.report->running + state.report->waiting;
        ++reports;
    }
    return reports > 0 ? requests / static_cast<double>(reports) : 0;
}

std::size_t endpoint_fleet::inFlight(const service_id& service) const
{
    std::size_t requests = 0;
    for (const auto& [id, state] : m_endpoints)
        requests += state.record.service == service ? state.inFlight : 0;
    return requests;
}

duration endpoint_fleet::meanAnswerTime(const service_id& service) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return duration::zero();
    return duration(static_cast<duration::rep>(found->second.meanAnswerSeconds * 1e6));
}

} // namespace appleramp
