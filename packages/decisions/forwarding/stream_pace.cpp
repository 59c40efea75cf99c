#include "decisions/forwarding/stream_pace.h"

#include <algorithm>

namespace appleramp {

namespace {

// Weight of the newest pause: about the last 20 events count.
constexpr int pauseSmoothing = 20;
// Part of the pause target that load may use up, since pauses vary.
constexpr double usableTarget = 0.9;

} // namespace

void stream_pace::noteEvent(instant now, std::optional<duration> pause)
{
    m_lastEvent = now;
    if (pause)
        m_pause += (*pause - m_pause) / pauseSmoothing;
}

bool stream_pace::standsStill(instant now, std::size_t waiting) const
{
    const duration silence = now - m_lastEvent;
    return m_lastEvent != instant {} && waiting >= leastWaiting && silence >= standstillAfter && silence < waitsInVainUntil;
}

double stream_pace::bearableFill(duration pauseTarget) const
{
    if (m_pause <= duration::zero() || pauseTarget <= duration::zero())
        return 1;
    const double ratio = usableTarget * static_cast<double>(pauseTarget.count()) / static_cast<double>(m_pause.count());
    return std::clamp(ratio, leastFill, 1.0);
}

} // namespace appleramp
