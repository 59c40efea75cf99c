#include "decisions/forwarding/endpoint_fleet.h"

#include <algorithm>
#include <utility>

// The part of the fleet that finds out what endpoints can take that have started or recovered.

namespace appleramp {

namespace {

// First rate of an endpoint that has started or recovered, in requests per second of all entries.
constexpr double firstRate = 8;
// After this long without a request for the service, rates no longer grow.
constexpr duration demandPause = std::chrono::seconds(1);
// Weight of a report in the mean slowdown of a service.
constexpr double slowdownSmoothing = 0.05;

} // namespace

void endpoint_fleet::beginPace(endpoint_state& state, instant now)
{
    state.recoversAt.reset();
    if (!m_settings.isPaced)
        return;
    // What runs at an endpoint already shows that it can take as much.
    const double load = hasFreshReport(state, now) && state.report->startedAtMs == state.record.startedAtMs ? state.report->running : 0;
    state.pace.begin(now, std::max(load, firstRate));
    // Failures from before would leave it idle; if it still fails, the rate falls.
    state.failureRate = 0;
    ++m_paceTotals.starts;
}

void endpoint_fleet::updatePace(endpoint_state& state, instant now)
{
    const bool isLimited = m_limits.isLimited(now, state.record.id);
    const bool limitEnded = std::exchange(state.wasLimited, isLimited) && !isLimited;
    const bool recovers = state.recoversAt && now >= *state.recoversAt;
    // The end of a backoff does not show that the endpoint is back, so no request is sought for it.
    const bool mayBeGone = recovers && *state.recoversAt == state.avoidUntil;
    if (limitEnded || recovers)
        beginPace(state, now);
    if (mayBeGone)
        state.pace.recordUsedElsewhere();
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

void endpoint_fleet::recordDemand(instant now, const service_id& service) { m_services[service].lastDemand = now; }

} // namespace appleramp
