#include "directentry/work_metrics.h"

namespace appleramp {

namespace {

const metric_descriptor forecastError { "appleramp_forecast_error_factor", metric_kind::Gauge, "Mean factor by which predicted times to the first event were off, by service." };
const metric_descriptor forecastCorrection { "appleramp_forecast_correction_factor", metric_kind::Gauge, "Factor by which predicted times are multiplied, by service." };

} // namespace

void setWorkGauges(metrics_registry& metrics, const forwarding_reducer& reducer)
{
    for (const auto& [service, forecast] : reducer.forecasts()) {
        metrics.set(forecastError, forecast.errorFactor(), { { "service", service.str() } });
        metrics.set(forecastCorrection, forecast.correction(), { { "service", service.str() } });
    }
}

} // namespace appleramp
