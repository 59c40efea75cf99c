#pragma once

namespace appleramp {

class metrics_registry;
struct finish_span;
struct span_export_counts;

// Adds the span's time to the latency summary of its operation.
void observeSpan(metrics_registry&, const finish_span&);

// Shows how many spans the collector took and how many were dropped.
void showExport(metrics_registry&, const span_export_counts&);

} // namespace appleramp
