#pragma once

#include <chrono>
#include <cstdint>

namespace appleramp {

using duration = std::chrono::microseconds;

// Tag type for the time points of a process's monotonic clock. It has no now(): reducers take the time from their
// events, so that a recorded trace can be replayed.
struct monotonic_clock {
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<monotonic_clock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): the standard's name.
};

using instant = monotonic_clock::time_point;

} // namespace appleramp
