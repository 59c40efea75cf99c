#pragma once

#include "model/time.h"

#include <cstddef>
#include <optional>

namespace appleramp {

// How the streams of one service advance at present.
//
// The ranks of a group step together, so streams tell of all its engines: pauses grow where too much runs or a rank is
// slow, and where nothing comes at all the group stands still.
class stream_pace {
public:
    // An event came so long after the one before it; the first of a stream has none before it.
    void noteEvent(instant now, std::optional<duration> pause);
    // Smoothed pause between events; zero while none is known.
    duration pause() const { return m_pause; }
    // So many streams wait, none has had an event for some time, and a new one would wait in vain. Later in a standstill
    // this is false again: who comes then is still there when the group goes on.
    bool standsStill(instant now, std::size_t waiting) const;
    // Part of the slots that can be taken without pauses beyond the target, in [leastFill, 1].
    double bearableFill(duration pauseTarget) const;

    // More than an engine's own delays, and much less than the time in which callers give up.
    static constexpr duration standstillAfter = std::chrono::milliseconds(700);
    // Standstills last for some seconds (a pause of a process, a group that forms anew), callers wait for two.
    static constexpr duration waitsInVainUntil = std::chrono::milliseconds(1700);
    // Fewer streams may all be between two events.
    static constexpr std::size_t leastWaiting = 3;
    // Below this fill pauses come from something else than load, and refusing more would not shorten them.
    static constexpr double leastFill = 0.6;

private:
    instant m_lastEvent;
    duration m_pause {};
};

} // namespace appleramp
