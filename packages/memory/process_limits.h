#pragma once

#include <cstddef>

namespace appleramp {

struct machine_size;

// How much a process holds for its callers and endpoints at the most.
struct process_limits {
    // Bytes of requests, answers and connections together.
    std::size_t heldBytes = 0;
    // Bodies of the requests that threads receive and serve at the same time. A request exists several times on its way.
    std::size_t bodyBytes = 0;
    // Callers' connections.
    std::size_t callerConnections = 0;
    // Connections at each of the ports for addresses, readiness and operations.
    std::size_t serviceConnections = 0;
};

process_limits limitsFor(const machine_size& machine);

} // namespace appleramp
