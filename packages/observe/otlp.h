#pragma once

#include "model/effects.h"
#include "model/identifiers.h"

#include <chrono>
#include <span>
#include <string>

namespace appleramp {

// The process that spans come from.
struct span_source {
    instance_id instance;
    availability_zone_id zone;
    incarnation sender = 0;
    // Wall-clock time of instant zero.
    std::chrono::system_clock::time_point wallAtZero;
};

// The body of an OTLP/HTTP export request in its JSON form. Spans whose traceparent is not valid are left out.
std::string otlpJson(const span_source&, std::span<const finish_span>);

} // namespace appleramp
