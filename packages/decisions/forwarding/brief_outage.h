#pragma once

#include "model/time.h"

namespace appleramp {

// Detects that a service rejects every request but may recover so soon that requests should wait for it.
//
// A group that re-forms, or engines that have just started, reject all requests for about a second. Each send to them would
// use up one of a request's few attempts.
class brief_outage {
public:
    // An attempt was rejected, or no endpoint could be found.
    void recordRejection(instant now);
    // An endpoint of the service answered or sent a stream event.
    void recordProgress() { m_consecutiveRejections = 0; }

    // True if a request should wait. Lets one through per probe interval, to find out whether the service has recovered.
    bool shouldWait(instant now);

    // Consecutive rejections from which the service as a whole is assumed to reject, not only one endpoint.
    static constexpr unsigned rejectionThreshold = 3;
    // A service that has rejected everything for longer is not expected to recover soon.
    static constexpr duration maxDuration = std::chrono::milliseconds(2500);
    static constexpr duration probeInterval = std::chrono::milliseconds(300);

private:
    unsigned m_consecutiveRejections = 0;
    instant m_firstRejectionAt;
    instant m_lastProbeAt;
};

} // namespace appleramp
