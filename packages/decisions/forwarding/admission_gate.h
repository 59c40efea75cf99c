#pragma once

#include "model/time.h"

#include <cstdint>

namespace appleramp {

struct admission_query {
    // Requests at the least loaded endpoint, running and waiting.
    double load = 0;
    std::uint32_t slots = 1;
    // How long an answer occupies a slot.
    duration occupancy {};
    duration latencyTarget {};
    // What is left until the caller's deadline.
    duration timeLeft {};
    // Requests of this urgency are served before those of a higher rank.
    std::uint32_t urgencyRank = 0;
    bool returning = false;
};

struct admission_verdict {
    bool admitted = true;
    duration expectedWait {};
    // Where refused: when the load will have gone down enough.
    duration retryAfter {};
};

// Admits a request that its endpoint can begin before the caller gives up, and refuses the others at once.
//
// A refused caller is told to come back when the queue will have drained, so that its return finds room.
class admission_gate {
public:
    // The point in [0, 1) spreads the returns of callers that are refused together.
    static admission_verdict judge(const admission_query& query, double point);

    // Callers leave a silent answer after this many times their latency target, but not before leastPatience.
    static constexpr int patienceFactor = 4;
    static constexpr duration leastPatience = std::chrono::seconds(2);
    // Part of the patience that may be used up in a queue; the rest is for reading the prompt and for news that is late.
    static constexpr double patienceUse = 0.6;
    static constexpr duration shortestReturn = std::chrono::milliseconds(150);
    static constexpr duration longestReturn = std::chrono::milliseconds(2500);
};

} // namespace appleramp
