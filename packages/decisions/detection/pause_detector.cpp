#include "decisions/detection/pause_detector.h"

namespace appleramp {

namespace {

constexpr duration longestGap = std::chrono::seconds(1);

} // namespace

bool pause_detector::sees(instant now)
{
    const bool paused = m_last && now - *m_last > longestGap;
    m_last = now;
    return paused;
}

} // namespace appleramp
