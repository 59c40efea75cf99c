#pragma once

#include "decisions/detection/pause_detector.h"

#include <cstdint>

namespace appleramp {

// After a pause, prevents a process from starting new work with a stale configuration: the refresh is pending until a
// peer has answered a configuration inquiry that was sent after the pause. If no peer answers within the maximum
// refresh duration, the process continues with the configuration that it has.
class configuration_refresh {
public:
    // Must be called for every event, before the event is handled.
    void recordEvent(instant now);
    // True while the process must not start new work.
    bool isPending() const { return m_pending; }
    // Returns the number of the inquiry to send to all peers now, or zero if none is due.
    std::uint64_t takeDueInquiry(instant now);
    // A peer has answered this inquiry. Answers to inquiries from before the pause are ignored.
    void recordAnswer(std::uint64_t inquiry);

private:
    pause_detector m_pauseDetector;
    bool m_pending = false;
    std::uint64_t m_firstInquiryAfterPause = 0;
    std::uint64_t m_lastInquiry = 0;
    instant m_nextInquiryAt;
    instant m_refreshDeadline;
};

} // namespace appleramp
