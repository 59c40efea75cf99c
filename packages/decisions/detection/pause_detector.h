#pragma once

#include "model/time.h"

#include <optional>

namespace appleramp {

// Detects that the process was paused. A timer causes an event every few milliseconds, so a gap of more than one second
// between two events means a pause. The state that the process holds may be stale afterwards.
class pause_detector {
public:
    // Must be called for every event. Returns true if the process was paused between the last event and this one.
    bool recordEvent(instant now);

private:
    std::optional<instant> m_lastEvent;
};

} // namespace appleramp
