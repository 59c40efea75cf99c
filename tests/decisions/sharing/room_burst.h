#pragma once

#include "decisions/sharing/sharing_world.h"

#include <functional>
#include <utility>

namespace appleramp::tests {

struct burst_results {
    double onTime[3] {};
    double worth[3] {};
    double served[3] {};
    double ofPossible = 0;
    double onTimeAfter = 0;
    duration overtaken {};
    std::size_t falseNotRun = 0;
};

// Means over the seeds, of a burst from the tenth second on.
burst_results playBurst(sharing_world_settings settings, duration length, const std::function<void(sharing_world&, bool begins)>& setBurst);

// Part of their worth that the least urgent callers earn in a burst: those that retry at once, and the others.
std::pair<double, double> worthOfRetries(bool returnsToSameEntry);

} // namespace appleramp::tests
