#include "decisions/forwarding/endpoint_fleet.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <utility>

namespace appleramp {

namespace {

// A load report older than this says nothing any more.
constexpr duration reportValidity = std::chrono::milliseconds(2500);
// Requests that an endpoint in another zone must have fewer to be preferred: bytes between zones cost.
constexpr double otherZoneCost = 1.0;
// Requests that a certain breakdown weighs as much as.
constexpr double failureCost = 30.0;
// A breakdown counts half after this time.
constexpr duration failureHalfLife = std::chrono::seconds(3);
constexpr double failureGain = 0.25;
constexpr double answerGain = 0.15;
// Of the failures of all its kind, an endpoint is excused this much.
constexpr double excusedFailures = 0.05;
// After a refused connection; doubles each time.
constexpr duration firstAvoidance = std::chrono::milliseconds(250);
constexpr duration longestAvoidance = std::chrono::seconds(2);
// After the endpoint said that it is full.
constexpr duration fullAvoidance = std::chrono::milliseconds(120);
// After another endpoint answered at the address: the registry will follow.
constexpr duration wrongEndpointAvoidance = std::chrono::seconds(2);
// Weight of the newest answer time relative to the service's mean from which an endpoint counts as slow.
constexpr double tolerableSlowness = 1.3;
constexpr double greatestSlowness = 20.0;
// Ranks of a group step together: what a slow one works on slows the streams of all, as if so many requests more ran there
// for each time that it is slower. Smaller paces are the usual variation.
constexpr double slowRankCost = 4.0;
constexpr double slowRankFrom = 1.25;
// Draws of the caller are spread over this many seeds.
constexpr double seedRange = 2'000'000'000.0;

double seconds(duration time) { return std::chrono::duration<double>(time).count(); }

void follow(double& mean, double value, double gain) { mean = mean == 0 ? value : mean + gain * (value - mean); }

} // namespace

endpoint_fleet::endpoint_fleet(fleet_settings settings)
    : m_settings(settings)
{
}

endpoint_fleet::endpoint_state* endpoint_fleet::find(const endpoint_id& endpoint)
{
    const auto found = m_endpoints.find(endpoint);
    return found == m_endpoints.end() ? nullptr : &found->second;
}

void endpoint_fleet::list(instant now, const endpoint_record& record)
{
    endpoint_state& state = m_endpoints[record.id];
    if (state.record.address != record.address) {
        if (const auto former = m_byAddress.find(state.record.address); former != m_byAddress.end())
            former->second.erase(record.id);
        m_byAddress[record.address].insert(record.id);
    }
    state.record = record;
    state.listedAt = now;
    state.lapsedAt.reset();
}

void endpoint_fleet::erase(const endpoint_id& endpoint)
{
    const auto found = m_endpoints.find(endpoint);
    if (found == m_endpoints.end())
        return;
    if (const auto there = m_byAddress.find(found->second.record.address); there != m_byAddress.end()) {
        there->second.erase(endpoint);
        if (there->second.empty())
            m_byAddress.erase(there);
    }
    m_endpoints.erase(found);
}

bool endpoint_fleet::isReplaced(const endpoint_state& state) const
{
    const auto there = m_byAddress.find(state.record.address);
    if (there == m_byAddress.end() || state.record.startedAtMs == 0)
        return false;
    return std::any_of(there->second.begin(), there->second.end(),
        [&](const endpoint_id& other) { return m_endpoints.at(other).record.startedAtMs > state.record.startedAtMs; });
}

void endpoint_fleet::unlist(instant now, const endpoint_id& endpoint)
{
    const auto found = m_endpoints.find(endpoint);
    if (found == m_endpoints.end())
        return;
    const bool registryUnsettled = m_registryAway || (m_registryBackAt && now - *m_registryBackAt < m_settings.lapseGrace);
    if (registryUnsettled && !found->second.record.leaving)
        found->second.lapsedAt = now;
    else
        erase(endpoint);
}

void endpoint_fleet::listOnly(instant now, std::span<const endpoint_record> records)
{
    std::set<endpoint_id> named;
    for (const endpoint_record& record : records) {
        named.insert(record.id);
        list(now, record);
    }
    std::vector<endpoint_id> missing;
    for (const auto& [id, state] : m_endpoints) {
        if (!named.contains(id) && !state.lapsedAt)
            missing.push_back(id);
    }
    for (const endpoint_id& id : missing)
        unlist(now, id);
}

void endpoint_fleet::registryAway(instant) { m_registryAway = true; }

void endpoint_fleet::registryBack(instant now)
{
    m_registryAway = false;
    m_registryBackAt = now;
}

void endpoint_fleet::setZonesOut(std::set<availability_zone_id> zones) { m_zonesOut = std::move(zones); }

std::vector<endpoint_id> endpoint_fleet::expireLapsed(instant now)
{
    std::vector<endpoint_id> expired;
    if (m_registryAway || !m_registryBackAt || now - *m_registryBackAt < m_settings.lapseGrace)
        return expired;
    for (const auto& [id, state] : m_endpoints) {
        if (state.lapsedAt)
            expired.push_back(id);
    }
    for (const endpoint_id& id : expired)
        erase(id);
    return expired;
}

std::optional<endpoint_id> endpoint_fleet::atAddress(std::string_view address) const
{
    const auto there = m_byAddress.find(address);
    if (there == m_byAddress.end() || there->second.empty())
        return std::nullopt;
    return *std::max_element(there->second.begin(), there->second.end(), [this](const endpoint_id& left, const endpoint_id& right) {
        return m_endpoints.at(left).record.startedAtMs < m_endpoints.at(right).record.startedAtMs;
    });
}

void endpoint_fleet::noteLoad(instant now, const endpoint_load& load)
{
    const auto told = atAddress(load.address);
    if (!told)
        return;
    endpoint_state& state = m_endpoints.at(*told);
    state.report = load;
    state.reportedAt = now;
    state.sentSinceReport = 0;
}

bool endpoint_fleet::hasReport(const endpoint_state& state, instant now) const
{
    return state.report && now - state.reportedAt < reportValidity;
}

double endpoint_fleet::load(const endpoint_state& state, instant now, std::size_t sharers) const
{
    if (hasReport(state, now))
        return std::max<double>(state.report->running + state.report->waiting + state.sentSinceReport, state.inFlight);
    return static_cast<double>(state.inFlight) * std::max(1.0, 0.5 * static_cast<double>(sharers));
}

double endpoint_fleet::failuresNow(const endpoint_state& state, instant now) const
{
    return state.failures * std::exp2(-seconds(now - state.failuresAt) / seconds(failureHalfLife));
}

double endpoint_fleet::slowness(const endpoint_state& state, instant now) const
{
    if (hasReport(state, now))
        return std::clamp(state.report->pace, 1.0, greatestSlowness);
    const auto service = m_services.find(state.record.service);
    if (service == m_services.end() || service->second.answerSeconds <= 0 || state.answerSeconds <= 0)
        return 1;
    const double ratio = state.answerSeconds / service->second.answerSeconds;
    return ratio < tolerableSlowness ? 1 : std::min(ratio, greatestSlowness);
}

double endpoint_fleet::cost(const endpoint_state& state, const placement_query& query) const
{
    const double queued = (load(state, query.now, query.sharers) + 1) * slowness(state, query.now);
    const double failing = failureCost * std::max(0.0, failuresNow(state, query.now) - excusedFailures);
    const double away = state.record.zone == query.zone ? 0 : otherZoneCost;
    const bool isSlowRank = hasReport(state, query.now) && state.report->pace >= slowRankFrom;
    const double holdsUpOthers = isSlowRank ? slowRankCost * (state.report->pace - 1) : 0;
    return queued + failing + away + holdsUpOthers;
}

bool endpoint_fleet::usable(const endpoint_state& state, const placement_query& query) const
{
    if (state.record.service != query.service || state.record.leaving || m_zonesOut.contains(state.record.zone))
        return false;
    if (query.now < state.avoidUntil || isReplaced(state))
        return false;
    return std::find(query.excluded.begin(), query.excluded.end(), state.record.id) == query.excluded.end();
}

// Any endpoint may have turned cold unnoticed, so the rate that a cold one bears holds for all.
bool endpoint_fleet::withinColdRate(endpoint_state& state, const placement_query& query) const
{
    if (query.coldRequestsPerSecond <= 0)
        return true;
    const bool cold = query.now < state.listedAt + state.record.coldFor;
    const double bound = cold
        ? query.coldRequestsPerSecond
        : m_settings.coldUse * (query.coldRequestsPerSecond * m_settings.coldFactor + m_settings.coldConstant);
    const double share = bound / static_cast<double>(std::max<std::size_t>(query.sharers, 1));
    if (share >= 1)
        return static_cast<double>(state.sends.count(query.now)) + 1 <= share;
    return query.now - state.lastSend >= duration(static_cast<duration::rep>(1e6 / share));
}

// The usable endpoints, or a random sample of them.
std::vector<endpoint_fleet::endpoint_state*> endpoint_fleet::candidates(const placement_query& query)
{
    std::vector<endpoint_state*> found;
    for (auto& [id, state] : m_endpoints) {
        if (usable(state, query) && withinColdRate(state, query))
            found.push_back(&state);
    }
    std::minstd_rand random(static_cast<std::minstd_rand::result_type>(query.point * seedRange) + 1);
    std::shuffle(found.begin(), found.end(), random);
    found.resize(std::min(found.size(), m_settings.compared));
    return found;
}

std::optional<placement> endpoint_fleet::choose(const placement_query& query)
{
    const auto found = candidates(query);
    if (found.empty())
        return std::nullopt;
    const auto best = *std::min_element(found.begin(), found.end(),
        [&](const auto* left, const auto* right) { return cost(*left, query) < cost(*right, query); });
    const duration age = best->report ? query.now - best->reportedAt : duration(-1);
    return placement { best->record.id, best->record.address, best->record.slots, load(*best, query.now, query.sharers), age };
}

placement_obstacle endpoint_fleet::obstacle(const service_id& service) const
{
    bool any = false;
    for (const auto& [id, state] : m_endpoints) {
        if (state.record.service != service)
            continue;
        any = true;
        if (!state.record.leaving && !m_zonesOut.contains(state.record.zone))
            return placement_obstacle::AllAtColdRate;
    }
    return any ? placement_obstacle::AllUnavailable : placement_obstacle::NoEndpoint;
}

void endpoint_fleet::noteSent(instant now, const endpoint_id& endpoint)
{
    endpoint_state* const state = find(endpoint);
    if (state == nullptr)
        return;
    ++state->inFlight;
    ++state->sentSinceReport;
    state->sends.note(now);
    state->lastSend = now;
}

void endpoint_fleet::addOutcome(endpoint_state& state, instant now, double failure)
{
    state.failures = failuresNow(state, now) * (1 - failureGain) + failureGain * failure;
    state.failuresAt = now;
}

void endpoint_fleet::noteAnswered(instant now, const endpoint_id& endpoint, duration took)
{
    endpoint_state* const state = find(endpoint);
    if (state == nullptr)
        return;
    state->inFlight -= std::min(state->inFlight, 1U);
    state->refusedConnections = 0;
    addOutcome(*state, now, 0);
    follow(state->answerSeconds, seconds(took), answerGain);
    follow(m_services[state->record.service].answerSeconds, seconds(took), answerGain);
}

void endpoint_fleet::noteEnded(instant now, const endpoint_id& endpoint, attempt_ending ending)
{
    endpoint_state* const state = find(endpoint);
    if (state == nullptr)
        return;
    state->inFlight -= std::min(state->inFlight, 1U);
    switch (ending) {
    case attempt_ending::NotSent:
        state->avoidUntil = now + std::min(firstAvoidance * (1U << std::min(state->refusedConnections, 4U)), longestAvoidance);
        ++state->refusedConnections;
        addOutcome(*state, now, 1);
        break;
    case attempt_ending::Rejected:
        state->avoidUntil = now + fullAvoidance;
        break;
    case attempt_ending::WrongEndpoint:
        state->avoidUntil = now + wrongEndpointAvoidance;
        break;
    case attempt_ending::FailureAnswer:
        addOutcome(*state, now, 0.5);
        break;
    default:
        addOutcome(*state, now, 1);
        break;
    }
}

void endpoint_fleet::noteCancelled(const endpoint_id& endpoint)
{
    if (endpoint_state* const state = find(endpoint))
        state->inFlight -= std::min(state->inFlight, 1U);
}

bool endpoint_fleet::hasFasterEndpoint(instant now, const service_id& service, const endpoint_id& endpoint) const
{
    return std::any_of(m_endpoints.begin(), m_endpoints.end(), [&](const auto& entry) {
        const endpoint_state& state = entry.second;
        const bool isOpen = state.record.service == service && !state.record.leaving && !m_zonesOut.contains(state.record.zone);
        return isOpen && entry.first != endpoint && hasReport(state, now) && state.report->pace < slowRankFrom && now >= state.avoidUntil;
    });
}

double endpoint_fleet::fill(instant now, const service_id& service) const
{
    double requests = 0;
    double slots = 0;
    for (const auto& [id, state] : m_endpoints) {
        if (state.record.service != service || !hasReport(state, now))
            continue;
        requests += state.report->running + state.report->waiting;
        slots += state.record.slots;
    }
    return slots > 0 ? requests / slots : 0;
}

std::size_t endpoint_fleet::inFlight(const service_id& service) const
{
    std::size_t requests = 0;
    for (const auto& [id, state] : m_endpoints)
        requests += state.record.service == service ? state.inFlight : 0;
    return requests;
}

duration endpoint_fleet::occupancy(const service_id& service) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return duration::zero();
    return duration(static_cast<duration::rep>(found->second.answerSeconds * 1e6));
}

} // namespace appleramp
