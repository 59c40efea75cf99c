#pragma once

#include "model/identifiers.h"
#include "model/time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace appleramp {

// An endpoint's entry in the registry.
struct endpoint_record {
    endpoint_id id;
    service_id service;
    // Numeric address and port.
    std::string address;
    availability_zone_id zone;
    std::uint32_t slots = 1;
    bool leaving = false;
    // Remaining warm-up time, counted from the receipt of the record.
    duration coldFor {};
    // Start time by the endpoint's own wall clock, in milliseconds; zero if it reports none. Only compared between
    // endpoints with the same address, where the one that started last has replaced the others.
    std::uint64_t startedAtMs = 0;
};

// Load of a model engine, as last read by its agent.
struct endpoint_load {
    std::string address;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    // How many times longer than its published speed the engine takes for its work; above one is slower.
    double slowdownFactor = 1.0;
    // False while the engine's group cannot execute steps.
    bool groupOpen = true;
};

// An entry's announcement of itself to the other processes.
struct entry_presence {
    instance_id instance;
    availability_zone_id zone;
    // Address that callers connect to.
    std::string callerAddress;
    // True if the address may be given to callers.
    bool serving = false;
};

} // namespace appleramp
