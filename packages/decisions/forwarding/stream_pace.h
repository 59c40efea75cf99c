#pragma once

#include "model/time.h"

#include <cstddef>
#include <optional>

namespace appleramp {

// Measures how fast the streams of one service advance.
//
// The ranks of a group step together, so its streams show the state of all its engines: the pauses between events grow
// under too much load or with a slow rank, and if no events come at all, the group is stalled.
class stream_pace {
public:
    // Records an event with the pause since the previous one; the first event of a stream has none.
    void recordEvent(instant now, std::optional<duration> pause);
    // Moving average of the pauses between events; zero while none is known.
    duration meanPause() const { return m_meanPause; }
    // True if at least minWaitingStreams streams wait and none has had an event for so long that a new one would wait in
    // vain. False again from stallRefusalEnd on: callers that come then are still there when the group resumes.
    bool isStalled(instant now, std::size_t waiting) const;
    // Slot utilization up to which pauses stay within the target, in [minUtilizationLimit, 1].
    double utilizationLimit(duration pauseTarget) const;

    // Longer than an engine's own delays, and much shorter than the time after which callers give up.
    static constexpr duration stallThreshold = std::chrono::milliseconds(700);
    // Stalls last for some seconds (a paused process, a group that re-forms), and callers wait for two.
    static constexpr duration stallRefusalEnd = std::chrono::milliseconds(1700);
    // Fewer streams may all happen to be between two events.
    static constexpr std::size_t minWaitingStreams = 3;
    // Below this utilization, pauses are caused by something other than load, and refusing more would not shorten them.
    static constexpr double minUtilizationLimit = 0.6;

private:
    instant m_lastEventAt;
    duration m_meanPause {};
};

} // namespace appleramp
