#include "directentry/work_metrics.h"

namespace appleramp {

namespace {

const metric_descriptor forecastError { "appleramp_forecast_error_factor", metric_kind::Gauge, "Mean factor by which predicted times to the first event were off, by service." };
const metric_descriptor forecastCorrection { "appleramp_forecast_correction_factor", metric_kind::Gauge, "Factor by which predicted times are multiplied, by service." };
const metric_descriptor sendsByZone { "appleramp_sends_by_zone", metric_kind::Gauge, "Sends since the start that were placed by their work, by the zones of the entry and of the endpoint." };
const metric_descriptor outliers { "appleramp_outliers", metric_kind::Gauge, "Endpoints that get few requests or none, because they failed more often than their peers." };

} // namespace

void setWorkGauges(metrics_registry& metrics, const forwarding_reducer& reducer, const availability_zone_id& ownZone)
{
    metrics.set(outliers, static_cast<double>(reducer.fleet().outlierCount()));
    for (const auto& [zone, sends] : reducer.sendsByZone())
        metrics.set(sendsByZone, static_cast<double>(sends), { { "from", ownZone.str() }, { "to", zone.str() } });
    for (const auto& [service, forecast] : reducer.forecasts()) {
        metrics.set(forecastError, forecast.errorFactor(), { { "service", service.str() } });
        metrics.set(forecastCorrection, forecast.correction(), { { "service", service.str() } });
    }
}

} // namespace appleramp
