#pragma once

#include "decisions/detection/pause_detector.h"

#include <cstdint>

namespace appleramp {

// After a pause, keeps a process from starting anything new until a peer has answered an inquiry about the
// configuration that was sent after the pause. If none answers in time, what is known is the best there is, and the
// process goes on with it.
class news_refresh {
public:
    // To be told of each event before it is handled.
    void sees(instant now);
    bool isPending() const { return m_pending; }
    // Number of the inquiry that must be sent to all peers now, or zero.
    std::uint64_t inquiryDue(instant now);
    // A peer has answered an inquiry.
    void answered(std::uint64_t inquiry);

private:
    pause_detector m_detector;
    bool m_pending = false;
    std::uint64_t m_firstInquiry = 0;
    std::uint64_t m_lastInquiry = 0;
    instant m_nextInquiry;
    instant m_givesUp;
};

} // namespace appleramp
