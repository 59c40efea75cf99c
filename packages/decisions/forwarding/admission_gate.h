#pragma once

#include "model/time.h"

#include <cstdint>

namespace appleramp {

struct admission_query {
    // Requests running and waiting at the chosen endpoint.
    double load = 0;
    std::uint32_t slots = 1;
    // Mean time for which an answer occupies a slot.
    duration answerTime {};
    duration latencyTarget {};
    // Remaining time until the request's deadline.
    duration timeLeft {};
    // Lower ranks are more urgent and served first.
    std::uint32_t urgencyRank = 0;
    bool returning = false;
};

struct admission_decision {
    bool admitted = true;
    duration expectedQueueWait {};
    // Set for refused requests: time after which the queue is expected to be short enough.
    duration retryAfter {};
};

// Admission control: admits a request only if its endpoint is expected to start it before the caller gives up.
//
// Other requests are refused at once, with a Retry-After after which the queue should be short enough for them.
class admission_gate {
public:
    // The jitter in [0, 1) spreads the retries of callers that are refused at the same time.
    static admission_decision decide(const admission_query& query, double jitter);

    // Callers abandon a request without an answer after this many latency targets, but not before minCallerPatience.
    static constexpr int callerPatienceFactor = 4;
    static constexpr duration minCallerPatience = std::chrono::seconds(2);
    // Fraction of the caller's patience that may be spent queueing; the rest covers prompt processing and late load reports.
    static constexpr double queueShareOfPatience = 0.6;
    static constexpr duration minRetryAfter = std::chrono::milliseconds(150);
    static constexpr duration maxRetryAfter = std::chrono::milliseconds(2500);
};

} // namespace appleramp
