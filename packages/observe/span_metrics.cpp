#include "observe/span_metrics.h"

#include "model/effects.h"
#include "observe/metrics_registry.h"
#include "observe/span_exporter.h"

namespace appleramp {

namespace {

constexpr metric_descriptor spanSeconds { "appleramp_span_seconds", metric_kind::Summary,
    "Time of each hop of requests, by operation." };
constexpr metric_descriptor spansExported { "appleramp_spans_exported", metric_kind::Gauge,
    "Spans that the collector took since the start." };
constexpr metric_descriptor spansDropped { "appleramp_spans_dropped", metric_kind::Gauge,
    "Spans dropped since the start because the collector did not take them." };

} // namespace

void observeSpan(metrics_registry& metrics, const finish_span& span)
{
    metrics.observe(spanSeconds, span.ended - span.started, { { "operation", span.operation } });
}

void showExport(metrics_registry& metrics, const span_export_counts& counts)
{
    metrics.set(spansExported, static_cast<double>(counts.exported));
    metrics.set(spansDropped, static_cast<double>(counts.dropped));
}

} // namespace appleramp
