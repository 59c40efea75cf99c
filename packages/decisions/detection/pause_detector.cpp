#include "decisions/detection/pause_detector.h"

namespace appleramp {

namespace {

constexpr duration pauseThreshold = std::chrono::seconds(1);

} // namespace

bool pause_detector::recordEvent(instant now)
{
    const bool paused = m_lastEvent && now - *m_lastEvent > pauseThreshold;
    m_lastEvent = now;
    return paused;
}

} // namespace appleramp
