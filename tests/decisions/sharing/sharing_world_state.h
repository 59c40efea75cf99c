#pragma once

#include "decisions/sharing/sharing_world.h"

#include <utility>

namespace appleramp::tests {

inline std::string addressOf(std::size_t engine) { return "10.0.0." + std::to_string(engine) + ":80"; }
inline duration scaledBy(duration time, double factor) { return duration(static_cast<duration::rep>(static_cast<double>(time.count()) * factor)); }

struct sharing_world::entry_state {
    std::unique_ptr<forwarding_reducer> reducer;
    std::uint64_t life = 0;
    instant cutUntil;
    instant frozenUntil;
    instant presenceToldAt;
    std::size_t datagrams = 0;
    std::size_t bytes = 0;
    // When the requests that wait here began to.
    std::map<request_number, instant> waitingSince;
};

struct sharing_world::caller_state {
    std::size_t kind = 0;
    std::size_t team = 0;
    std::size_t entry = 0;
    instant arrivedAt;
    instant firstEventAt;
    request_number send = 0;
    int sends = 0;
    bool isImpatient = false;
    bool isOver = false;
    bool isServed = false;
    bool hasLeft = false;
};

struct sharing_world::engine_state {
    bool isGone = false;
    std::set<request_number> running;
    // By rank and order of arrival.
    std::map<std::pair<std::uint32_t, std::uint64_t>, request_number> queue;
    std::uint64_t arrivals = 0;
};

} // namespace appleramp::tests
