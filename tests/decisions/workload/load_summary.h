#pragma once

#include "decisions/workload/work_world.h"

namespace appleramp::tests {

// How a span of a run was served.
struct load_summary {
    // Of prompts up to the usual size.
    duration smallP99 {};
    double served = 0;
    double largeServed = 0;
    double onTime = 0;
    double refused = 0;
};

// Requests that arrived in the span, at one entry or at all.
load_summary summarize(const work_world& world, duration from, duration until, std::optional<std::size_t> entry = {});
void print(const char* name, const work_world& world, const load_summary& seen);

} // namespace appleramp::tests
