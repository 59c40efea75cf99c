#pragma once

#include "model/effects.h"
#include "model/identifiers.h"

#include <chrono>
#include <span>
#include <string>

namespace appleramp {

// Identifies the process that produced the spans.
struct span_source {
    instance_id instance;
    availability_zone_id zone;
    incarnation processIncarnation = 0;
    // Wall-clock time that corresponds to instant zero, to convert the monotonic times of spans.
    std::chrono::system_clock::time_point wallClockAtInstantZero;
};

// The body of an OTLP/HTTP export request in JSON encoding. Spans whose traceparent is not valid are omitted.
std::string otlpJson(const span_source&, std::span<const finish_span>);

} // namespace appleramp
