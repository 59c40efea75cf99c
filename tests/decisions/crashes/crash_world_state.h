#pragma once

#include "decisions/crashes/crash_world.h"

// What the parts of crash_world share.

namespace appleramp::tests {

struct crash_world::entry_state {
    std::unique_ptr<forwarding_reducer> reducer;
    std::uint64_t life = 0;
    instant disturbedUntil;
    instant cutUntil;
    std::map<request_number, simulated_request> requests;
    std::map<request_number, std::uint64_t> runs;
    instant presenceToldAt;
};

struct crash_world::engine_state {
    std::string address;
    endpoint_id id;
    std::uint64_t startedAtMs = 0;
    bool up = true;
    bool listed = true;
};

struct crash_world::run {
    std::size_t entry = 0;
    std::uint64_t life = 0;
    request_number request = 0;
    std::size_t engine = 0;
    simulated_request content;
    int events = 0;
};

} // namespace appleramp::tests
