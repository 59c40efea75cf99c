#pragma once

#include "model/time.h"

namespace appleramp {

inline double seconds(duration time) { return std::chrono::duration<double>(time).count(); }

// Cuts fractions of a microsecond.
inline duration ofSeconds(double time) { return duration(static_cast<duration::rep>(time * 1e6)); }

} // namespace appleramp
