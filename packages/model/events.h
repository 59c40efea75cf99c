#pragma once

#include "model/configuration.h"
#include "model/identifiers.h"
#include "model/instance.h"
#include "model/journal.h"
#include "model/messages.h"
#include "model/platform_call.h"
#include "model/request.h"
#include "model/time.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace appleramp {

// Identifies a link within one process.
using link_number = std::uint64_t;

// Events of both entries and agents.

struct link_opened {
    static constexpr const char* name = "link_opened";
    link_number link = 0;
    // The instance that this process dialled; empty if the peer dialled.
    instance_id dialled;
};
struct link_closed {
    static constexpr const char* name = "link_closed";
    link_number link = 0;
    // The instance that this process dialled; empty if the peer dialled. If a dial failed, link is zero.
    instance_id dialled;
};
struct message_received {
    static constexpr const char* name = "message_received";
    link_number link = 0;
    link_envelope envelope;
};
struct platform_replied {
    static constexpr const char* name = "platform_replied";
    operation_number operation = 0;
    platform_result result;
};
struct instances_listed {
    static constexpr const char* name = "instances_listed";
    std::vector<listed_instance> instances;
};
// Lets the reducer run its timers: sent at its next wake-up time, and possibly earlier.
struct time_passed {
    static constexpr const char* name = "time_passed";
};
struct stop_requested {
    static constexpr const char* name = "stop_requested";
};

// Events of entries only.

struct request_received {
    static constexpr const char* name = "request_received";
    request_number number = 0;
    service_request request;
};
struct caller_left {
    static constexpr const char* name = "caller_left";
    request_number number = 0;
};
struct addresses_requested {
    static constexpr const char* name = "addresses_requested";
    request_number number = 0;
    team_id team;
};
struct keys_requested {
    static constexpr const char* name = "keys_requested";
    request_number number = 0;
    service_id service;
};
// An operator asks for a configuration change; the reply tells whether it was committed.
struct change_requested {
    static constexpr const char* name = "change_requested";
    request_number number = 0;
    std::string changeId;
    configuration_change change;
};
struct status_requested {
    static constexpr const char* name = "status_requested";
    request_number number = 0;
};
struct configuration_requested {
    static constexpr const char* name = "configuration_requested";
    request_number number = 0;
};

using entry_event_body = std::variant<link_opened, link_closed, message_received, platform_replied, instances_listed,
    time_passed, stop_requested, request_received, caller_left, addresses_requested, keys_requested, change_requested,
    status_requested, configuration_requested>;

struct entry_event {
    instant at;
    entry_event_body body;
};

// Events of agents only.

using call_number = std::uint64_t;

struct engine_head {
    static constexpr const char* name = "engine_head";
    call_number call = 0;
    std::uint16_t status = 0;
    std::vector<http_header> headers;
};
struct engine_data {
    static constexpr const char* name = "engine_data";
    call_number call = 0;
    std::string data;
};
struct engine_end {
    static constexpr const char* name = "engine_end";
    call_number call = 0;
};
struct engine_failed {
    static constexpr const char* name = "engine_failed";
    call_number call = 0;
    failure_cause cause = failure_cause::EndpointCrashed;
    // True if it is certain that no part of the call reached the endpoint.
    bool neverSent = false;
};
// The endpoint's own report of its health and load, which may be out of date.
struct engine_probed {
    static constexpr const char* name = "engine_probed";
    bool healthy = false;
    // Changes with each restart of the endpoint's process.
    std::string bootId;
    std::uint32_t running = 0;
    std::uint32_t capacity = 0;
};

using agent_event_body = std::variant<link_opened, link_closed, message_received, platform_replied, instances_listed,
    time_passed, stop_requested, engine_head, engine_data, engine_end, engine_failed, engine_probed>;

struct agent_event {
    instant at;
    agent_event_body body;
};

} // namespace appleramp
