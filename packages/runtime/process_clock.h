#pragma once

#include "model/identifiers.h"
#include "model/time.h"

namespace appleramp {

// Current time of the process's monotonic clock, which counts from an arbitrary start.
instant monotonicNow();

// Like monotonicNow, but the clock also advances while the machine is suspended. Use it for ages of data, which grows
// stale during a suspension too.
instant suspendAwareNow();

// Wall-clock time at which the monotonic clock read zero, by the current difference of the two clocks.
std::chrono::system_clock::time_point wallClockAtZero();

// Returns an incarnation higher than those of earlier processes with the same name: wall-clock milliseconds, followed
// by random low bits that distinguish processes started in the same millisecond.
incarnation newIncarnation();

} // namespace appleramp
