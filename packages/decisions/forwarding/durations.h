#pragma once

#include "model/time.h"

#include <string>

namespace appleramp {

inline duration scaled(duration time, double factor)
{
    return duration(static_cast<duration::rep>(static_cast<double>(time.count()) * factor));
}

// Whole milliseconds, for log lines.
inline std::string millisecondsText(duration time)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

} // namespace appleramp
