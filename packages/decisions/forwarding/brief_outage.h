#pragma once

#include "model/time.h"

namespace appleramp {

// Whether a service turns everything away at present, and may be back so soon that a request had better wait.
//
// A group that forms anew, or engines that have just started, reject all for about a second. Each send to them uses up
// one of a request's few attempts.
class brief_outage {
public:
    // An attempt was rejected, or no endpoint could be found.
    void noteRejected(instant now);
    // An endpoint of the service sent something.
    void noteProgress() { m_rejected = 0; }

    // True for requests that are to wait; lets one through from time to time, which shows whether the service is back.
    bool shouldWait(instant now);

    // Rejections in a row that show that not a single endpoint is meant.
    static constexpr unsigned rejectedFrom = 3;
    // A service that is away for longer is not expected back soon.
    static constexpr duration briefFor = std::chrono::milliseconds(2500);
    static constexpr duration probeInterval = std::chrono::milliseconds(300);

private:
    unsigned m_rejected = 0;
    instant m_since;
    instant m_probedAt;
};

} // namespace appleramp
