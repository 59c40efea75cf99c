#pragma once

namespace appleramp {

class metrics_registry;
struct finish_span;
struct span_export_counts;

// Adds the duration of the span to the latency summary of its operation.
void observeSpan(metrics_registry&, const finish_span&);

// Sets the gauges of exported and dropped spans.
void showExport(metrics_registry&, const span_export_counts&);

} // namespace appleramp
