#include "decisions/forwarding/endpoint_fleet.h"

#include "model/seconds.h"

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
// Mean answer time relative to the service's mean, from which an endpoint without a load report counts as slow.
constexpr double minSlowdown = 1.3;
constexpr double maxSlowdown = 20.0;
// For this long after a start or recovery, slowness is forgotten with this half-life while no answer shows more of it.
constexpr duration startedPeriod = std::chrono::seconds(10);
constexpr duration startSlownessHalfLife = std::chrono::milliseconds(500);
// Additional cost of a slow rank, in requests for each multiple of the published time by which it is slower. The ranks of a
// group step together, so whatever runs at a slow rank slows the streams of all ranks. Paces below the threshold are normal
// variation.
constexpr double slowRankCost = 4.0;
constexpr double slowRankPaceThreshold = 1.25;
// Number of seeds to which the caller's random fraction is mapped.
constexpr double sampleSeedRange = 2'000'000'000.0;

void updateMovingAverage(double& mean, double value, double weight) { mean = mean == 0 ? value : mean + weight * (value - mean); }

} // namespace

void endpoint_fleet::recordLoad(instant now, const endpoint_load& load)
{
    const auto endpoint = latestAtAddress(load.address);
    if (!endpoint)
        return;
    endpoint_state& state = m_endpoints.at(*endpoint);
    recordReportForPace(state, now, load);
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
    double ratio = state.meanAnswerSeconds / service->second.meanAnswerSeconds;
    // An endpoint that was slow right after its start soon is no longer, but would get no request that shows it.
    if (state.pace.hasBegunSince(now - startedPeriod))
        ratio = 1 + (ratio - 1) * std::exp2(-seconds(now - state.lastAnswerAt) / seconds(startSlownessHalfLife));
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

std::vector<endpoint_fleet::endpoint_state*> endpoint_fleet::candidates(const placement_query& query, bool onlySubset)
{
    std::vector<endpoint_state*> found;
    for (auto& [id, state] : m_endpoints) {
        if (onlySubset && state.source == load_source::None)
            continue;
        if (isEligible(state, query) && permissionFor(state, query).isAllowed)
            found.push_back(&state);
    }
    return found;
}

// Returns the usable endpoints of the subset, or of the whole fleet if there are none; a random sample of them if there are
// more than sampleSize.
std::vector<endpoint_fleet::endpoint_state*> endpoint_fleet::sampleCandidates(const placement_query& query)
{
    updateRingStarts(query.service);
    auto found = candidates(query, true);
    if (found.empty())
        found = candidates(query, false);
    std::minstd_rand random(static_cast<std::minstd_rand::result_type>(query.randomFraction * sampleSeedRange) + 1);
    std::shuffle(found.begin(), found.end(), random);
    if (const auto first = std::find_if(found.begin(), found.end(), [&](const auto* state) { return awaitsFirstRequest(*state, query.now); }); first != found.end())
        return { *first };
    found.resize(std::min(found.size(), m_settings.sampleSize));
    return found;
}

bool endpoint_fleet::awaitsFirstRequest(const endpoint_state& state, instant now) const
{
    if (!state.pace.awaitsFirstSend(now) || slowdown(state, now) >= slowRankPaceThreshold)
        return false;
    // Another entry may have sent it one.
    return !hasFreshReport(state, now) || (state.report->groupOpen && state.report->running + state.report->waiting == 0);
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
    return placement { best->record.id, best->record.address, best->record.slots, estimatedLoad(*best, query.now, query.entryCount), age,
        awaitsFirstRequest(*best, query.now), best->record.zone, {}, {} };
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
    state->shares.recordSend(now);
    state->pace.recordSend(now);
    m_limits.recordSend(now, endpoint);
    m_services[state->record.service].outliers.recordSend(now, endpoint);
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
    state->lastAnswerAt = now;
    service_state& service = m_services[state->record.service];
    // How long a whole stream takes depends on its length; its first event has been counted.
    if (service.meanFirstEventSeconds == 0 && service.meanAnswerSeconds > 0)
        state->pace.recordAnswer(now, seconds(answerTime) / service.meanAnswerSeconds);
    updateMovingAverage(service.meanAnswerSeconds, seconds(answerTime), answerTimeSmoothing);
}

void endpoint_fleet::recordFirstEvent(instant now, const endpoint_id& endpoint, duration time)
{
    endpoint_state* const state = find(endpoint);
    if (state == nullptr)
        return;
    double& mean = m_services[state->record.service].meanFirstEventSeconds;
    state->pace.recordAnswer(now, mean > 0 ? seconds(time) / mean : 1);
    updateMovingAverage(mean, seconds(time), answerTimeSmoothing);
}

void endpoint_fleet::recordCancellation(const endpoint_id& endpoint)
{
    endpoint_state* const state = find(endpoint);
    if (state == nullptr)
        return;
    state->inFlight -= std::min(state->inFlight, 1U);
    state->pace.recordCancellation();
}

bool endpoint_fleet::hasOtherFastEndpoint(instant now, const service_id& service, const endpoint_id& endpoint) const
{
    return std::any_of(m_endpoints.begin(), m_endpoints.end(), [&](const auto& entry) {
        const endpoint_state& state = entry.second;
        return state.record.service == service && isInService(state, now) && entry.first != endpoint && !m_limits.isLimited(now, entry.first) && hasFreshReport(state, now) && state.report->slowdownFactor < slowRankPaceThreshold
            && now >= resumesAt(state);
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
    return ofSeconds(found->second.meanAnswerSeconds);
}

} // namespace appleramp
