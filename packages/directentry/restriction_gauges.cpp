#include "directentry/restriction_gauges.h"

#include "decisions/forwarding/forwarding_reducer.h"
#include "directentry/entry_metrics.h"
#include "observe/metrics_registry.h"

#include <array>
#include <map>

namespace appleramp {

namespace {

constexpr std::array reasons { restriction_reason::Leaving, restriction_reason::ZoneOut, restriction_reason::Paused, restriction_reason::Backoff,
    restriction_reason::Outlier, restriction_reason::NamedLimit, restriction_reason::Ramp, restriction_reason::Cold };

} // namespace

void setRestrictionGauges(metrics_registry& metrics, instant now, const forwarding_reducer& reducer)
{
    const endpoint_fleet& fleet = reducer.fleet();
    metrics.set(entry_metrics::endpoints, static_cast<double>(fleet.size()));
    metrics.set(entry_metrics::suspects, static_cast<double>(reducer.crashes().size()));
    metrics.set(entry_metrics::convictedSuspects, static_cast<double>(reducer.crashes().convicted().size()));
    metrics.set(entry_metrics::requestsAwaitingPermit, static_cast<double>(reducer.requestsAwaitingPermit()));
    metrics.set(entry_metrics::endpointsPaused, static_cast<double>(fleet.pausedCount(now)));
    metrics.set(entry_metrics::endpointsLimited, static_cast<double>(fleet.limits().limitedCount(now)));
    metrics.set(entry_metrics::retriesGranted, static_cast<double>(reducer.retryTotals().granted));
    metrics.set(entry_metrics::retriesDenied, static_cast<double>(reducer.retryTotals().denied));
    std::map<restriction_reason, double> counts;
    for (const restriction_view& each : fleet.restrictions())
        ++counts[each.restriction.reason];
    for (const restriction_reason reason : reasons)
        metrics.set(entry_metrics::endpointsRestricted, counts[reason], { { "reason", nameOf(reason) } });
    const endpoint_fleet::pace_totals& totals = fleet.paceTotals();
    metrics.set(entry_metrics::endpointStarts, static_cast<double>(totals.starts));
    metrics.set(entry_metrics::endpointRampsEnded, static_cast<double>(totals.reached));
    metrics.set(entry_metrics::endpointRampTime, std::chrono::duration<double>(totals.time).count());
}

} // namespace appleramp
