#include "directentry/configuration_gauges.h"

#include "decisions/forwarding/forwarding_reducer.h"
#include "directentry/entry_metrics.h"
#include "directentry/store_followers.h"
#include "model/seconds.h"
#include "observe/metrics_registry.h"

namespace appleramp {

namespace {

constexpr double unknownAge = -1;

} // namespace

void setConfigurationGauges(metrics_registry& metrics, instant now, const forwarding_reducer& reducer, const store_followers& followers)
{
    const auto age = reducer.configurationAge(now);
    metrics.set(entry_metrics::configurationAge, age ? seconds(*age) : unknownAge);
    metrics.set(entry_metrics::configurationVersion, static_cast<double>(reducer.configurationVersion()));
    metrics.set(entry_metrics::configurationUnreadable, followers.isConfigurationReadable() ? 0 : 1);
}

} // namespace appleramp
