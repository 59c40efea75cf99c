#pragma once

#include "model/identifiers.h"
#include "model/time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace appleramp {

// What the registry says of an endpoint.
struct endpoint_record {
    endpoint_id id;
    service_id service;
    // Numeric address and port.
    std::string address;
    availability_zone_id zone;
    std::uint32_t slots = 1;
    bool leaving = false;
    // How long it stays cold, as of the record.
    duration coldFor {};
    // When it started, in milliseconds of its own time of day; zero if it does not say. Only compared between endpoints at
    // one address, of which the latest is the one that is there.
    std::uint64_t startedAtMs = 0;
};

// How a model engine stands, as its agent read it.
struct endpoint_load {
    std::string address;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    // Above one: slower than published.
    double pace = 1.0;
    // False while its group can't take a step.
    bool groupOpen = true;
};

// What an entry says of itself to the others.
struct entry_presence {
    instance_id instance;
    availability_zone_id zone;
    // Where callers connect.
    std::string callerAddress;
    // Takes part in the addresses that callers are given.
    bool serving = false;
};

} // namespace appleramp
