#pragma once

#include "model/identifiers.h"
#include "model/time.h"

namespace appleramp {

// The process's monotonic clock, counted from an arbitrary start.
instant monotonicNow();

// The same for a clock that goes on while the machine is suspended: what ages while nothing runs is measured by it.
instant suspendAwareNow();

// Wall-clock time of that start, as the two clocks stand now.
std::chrono::system_clock::time_point wallClockAtZero();

// An incarnation later than that of any process started before with the same name: wall-clock milliseconds with
// random low bits that keep processes started in the same millisecond apart.
incarnation newIncarnation();

} // namespace appleramp
