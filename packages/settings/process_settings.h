#pragma once

#include "model/identifiers.h"
#include "model/messages.h"
#include "model/time.h"

#include <cstdint>
#include <string>

namespace appleramp {

// A numeric IP address and a port. Port 0 lets the kernel choose a free port.
struct socket_address {
    std::string host;
    std::uint16_t port = 0;

    std::string str() const { return host + ':' + std::to_string(port); }
    friend bool operator==(const socket_address&, const socket_address&) = default;
};

struct process_section {
    process_role role = process_role::Entry;
    instance_id instance;
    availability_zone_id zone;
};

struct listen_section {
    // Entry only.
    socket_address callers;
    socket_address operations;
    socket_address links;
    // Direct entry only.
    socket_address readiness;
    socket_address directory;
};

struct platform_section {
    std::string tableUrl;
    std::string objectsUrl;
    std::string instancesUrl;
    duration pollInterval {};
};

// Agent only.
struct endpoint_section {
    endpoint_description description;
    std::string url;
    // Maximum numbers of requests in flight: when the endpoint is warm, and while it is cold.
    std::uint32_t capacity = 0;
    std::uint32_t coldSlots = 0;
    // Direct agent only.
    socket_address address;
};

// Direct entries and direct agents only.
struct store_section {
    socket_address address;
    duration poll {};
    // Direct entries only.
    bool fastReturn = false;
};

// Time bounds, retry budgets and rates of cold endpoints that the deployment guarantees. Direct entries and direct agents
// only.
struct bounds_section {
    duration revocation {};
    duration drain {};
    duration grace {};
    duration stall {};
    duration repeatWindow {};
    duration pause {};
    double repeatRatio = 0;
    double repeatConstant = 0;
    double coldFactor = 0;
    double coldConstant = 0;
};

// Direct entries only.
struct admission_section {
    // Requests of several urgency ranks share the capacity of a service by their urgency.
    bool sharedRoom = false;
};

struct placement_section {
    // Places requests by their expected work where a service publishes engine figures, not by the number of requests.
    bool byWork = false;
    // Endpoints that started or recovered get as much as they can take, by how they answer.
    bool pace = false;
};

// The process's own network link. Direct agents only.
struct link_section {
    // Rate of the link in megabits per second.
    double rate = 0;
    // Fraction of the rate that datagrams to other processes may take.
    double controlShare = 0;
};

// Switches of the expert maps of a group. Direct agents only.
struct groups_section {
    // Whether this agent takes part in switches with one hold for the whole group.
    bool singleHold = false;
};

enum class log_level {
    Info,
    Warning,
    Error,
};

struct observe_section {
    log_level logLevel = log_level::Info;
    // URL that spans are sent to as OTLP JSON; if empty, they are not exported.
    std::string spansUrl;
    std::uint32_t journalEntries = 0;
};

struct limits_section {
    std::uint64_t maxBodyBytes = 0;
    std::uint32_t maxHeaderBytes = 0;
    std::uint32_t maxRequestsInFlight = 0;
    // Longest pause while a request arrives, and longest time until its body is complete.
    duration requestReadTimeout {};
    // Zero for what the machine has.
    std::uint32_t memoryMegabytes = 0;
    // Direct entries only.
    std::uint32_t descriptors = 0;
};

struct entry_section {
    // Entry only: number of threads that serve callers; each serves one connection at a time.
    std::uint32_t maxCallers = 0;
    // Direct entry only: longest wait of a request that arrives while the process starts.
    duration startWait {};
};

// The parsed settings file of a process, with one member for each section.
struct process_settings {
    process_section process;
    listen_section listen;
    platform_section platform;
    store_section store;
    bounds_section bounds;
    admission_section admission;
    link_section link;
    groups_section groups;
    placement_section placement;
    endpoint_section endpoint;
    observe_section observe;
    limits_section limits;
    entry_section entry;
};

} // namespace appleramp
