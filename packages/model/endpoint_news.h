#pragma once

#include "model/endpoint_limit.h"
#include "model/identifiers.h"
#include "model/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

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
    // Number of entries that subscribe to these reports; zero while it is not known.
    std::uint32_t subscribers = 0;
    // The engine announced that it leaves.
    bool leaving = false;
    // As endpoint_record::startedAtMs; tells incarnations at one address apart.
    std::uint64_t startedAtMs = 0;
    // What the engine's report says of the requests that it takes.
    limit_statement limit;
    // Tokens that the engine's requests hold in its memory, and how many fit; zero if the agent does not report them.
    std::uint64_t memoryUsed = 0;
    std::uint64_t memoryTotal = 0;
};

// An agent's report that its endpoint, started at that time, has ended.
struct endpoint_death {
    std::string address;
    // As endpoint_record::startedAtMs.
    std::uint64_t startedAtMs = 0;
};

// Asks an agent to report the load of its endpoint to the sender for a while.
struct load_subscription {
    availability_zone_id zone;
    // Generation of the store that the sender last read. Most agents do not read the store.
    std::uint64_t storeGeneration = 0;
};

// An entry's announcement of itself to the other processes.
struct entry_presence {
    instance_id instance;
    availability_zone_id zone;
    // Address that callers connect to.
    std::string callerAddress;
    // True if the address may be given to callers.
    bool serving = false;
    // The configuration in force at the entry; zero if it knows none.
    std::uint64_t configuration = 0;
    // The first message since the entry started; the others answer it at once.
    bool starting = false;
};

// The presence of an entry as another one passes it on, and how long ago that one heard it.
struct relayed_presence {
    entry_presence presence;
    duration age {};
};

// The entries of one zone, as the entry that reads the store for it tells the other zones of a large fleet.
struct zone_presence {
    std::vector<relayed_presence> entries;
};

} // namespace appleramp
