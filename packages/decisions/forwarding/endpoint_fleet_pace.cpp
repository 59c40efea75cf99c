#include "decisions/forwarding/endpoint_fleet.h"

#include <cmath>
#include <utility>

// The part of the fleet that finds out what endpoints can take that have started or recovered.

namespace appleramp {

namespace {

// While the rate of a started endpoint grows: so many requests are expected to reach it in its first firstRequestsTime, but its first
// rate is at least minFirstRate.
constexpr double firstRequests = 8;
constexpr duration firstRequestsTime = std::chrono::milliseconds(300);
constexpr double minFirstRate = 8;
// Time over which an entry averages its requests for a service.
constexpr duration demandMemory = std::chrono::seconds(5);
// After this long without a request for the service, rates no longer grow.
constexpr duration demandPause = std::chrono::seconds(1);
// Weight of a report in the mean slowdown of a service.
constexpr double slowdownSmoothing = 0.05;

double seconds(duration time) { return std::chrono::duration<double>(time).count(); }

} // namespace

double endpoint_fleet::firstRate(const service_id& service, instant now) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end() || !found->second.lastDemand)
        return minFirstRate;
    // The other entries are assumed to have about as many requests as this one.
    const double demand = found->second.demandRate * std::exp(-seconds(now - *found->second.lastDemand) / seconds(demandMemory));
    return demand <= 0 ? minFirstRate : std::max(minFirstRate, firstRequests / (demand * seconds(firstRequestsTime)));
}

void endpoint_fleet::beginPace(endpoint_state& state, instant now)
{
    state.recoversAt.reset();
    if (!m_settings.isPaced)
        return;
    // What runs at an endpoint already shows that it can take as much.
    const double load = hasFreshReport(state, now) && state.report->startedAtMs == state.record.startedAtMs ? state.report->running : 0;
    state.pace.begin(now, std::max(load, firstRate(state.record.service, now)));
    ++m_paceTotals.starts;
}

void endpoint_fleet::updatePace(endpoint_state& state, instant now)
{
    const bool isLimited = m_limits.isLimited(now, state.record.id);
    const bool limitEnded = std::exchange(state.wasLimited, isLimited) && !isLimited;
    if (limitEnded || (state.recoversAt && now >= *state.recoversAt))
        beginPace(state, now);
    if (!state.pace.isRamping() || state.usualRate <= 0)
        return;
    const auto service = m_services.find(state.record.service);
    const bool hasDemand = service != m_services.end() && service->second.lastDemand && now - *service->second.lastDemand < demandPause;
    if (!state.pace.update(now, state.usualRate, hasDemand, usualBeginTime(state.record.service)))
        return;
    ++m_paceTotals.reached;
    m_paceTotals.time += now - state.pace.since();
}

duration endpoint_fleet::usualBeginTime(const service_id& service) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return duration::zero();
    const double mean = found->second.meanFirstEventSeconds > 0 ? found->second.meanFirstEventSeconds : found->second.meanAnswerSeconds;
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(mean));
}

void endpoint_fleet::recordReportForPace(endpoint_state& state, instant now, const endpoint_load& load)
{
    double& mean = m_services[state.record.service].meanSlowdown;
    const double peers = std::max(mean, 1.0);
    mean = mean == 0 ? load.slowdownFactor : mean + slowdownSmoothing * (load.slowdownFactor - mean);
    // A group that has formed again, or reports after a network cut.
    const bool opened = state.report && load.groupOpen && !state.report->groupOpen;
    const bool wasCutOff = state.report && !hasFreshReport(state, now);
    if (opened || wasCutOff)
        beginPace(state, now);
    state.pace.recordReport(now, load.groupOpen && load.slowdownFactor <= endpoint_pace::goodSlowness * peers && load.waiting <= state.record.slots);
}

void endpoint_fleet::recordDemand(instant now, const service_id& service)
{
    service_state& state = m_services[service];
    const double decay = state.lastDemand ? std::exp(-seconds(now - *state.lastDemand) / seconds(demandMemory)) : 0;
    state.demandRate = state.demandRate * decay + 1 / seconds(demandMemory);
    state.lastDemand = now;
}

} // namespace appleramp
