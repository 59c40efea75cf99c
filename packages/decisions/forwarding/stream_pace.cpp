#include "decisions/forwarding/stream_pace.h"

#include <algorithm>

namespace appleramp {

namespace {

// The newest pause has a weight of 1/20, so about the last 20 events count.
constexpr int pauseSmoothing = 20;
// Fraction of the pause target that the mean pause may reach, since pauses vary.
constexpr double usableTargetFraction = 0.9;

} // namespace

void stream_pace::recordEvent(instant now, std::optional<duration> pause)
{
    m_lastEventAt = now;
    if (pause)
        m_meanPause += (*pause - m_meanPause) / pauseSmoothing;
}

bool stream_pace::isStalled(instant now, std::size_t waiting) const
{
    const duration silence = now - m_lastEventAt;
    return m_lastEventAt != instant {} && waiting >= minWaitingStreams && silence >= stallThreshold && silence < stallRefusalEnd;
}

double stream_pace::utilizationLimit(duration pauseTarget) const
{
    if (m_meanPause <= duration::zero() || pauseTarget <= duration::zero())
        return 1;
    const double ratio = usableTargetFraction * static_cast<double>(pauseTarget.count()) / static_cast<double>(m_meanPause.count());
    return std::clamp(ratio, minUtilizationLimit, 1.0);
}

} // namespace appleramp
