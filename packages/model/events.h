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

// Names one link within one process.
using link_number = std::uint64_t;

// Events that both roles have.

struct link_opened {
    static constexpr const char* name = "link_opened";
    link_number link = 0;
    // The listed instance that was dialled; empty if the peer dialled.
    instance_id dialled;
};
struct link_closed {
    static constexpr const char* name = "link_closed";
    link_number link = 0;
    // Set if a dial failed and no link came to be.
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
// The time that a reducer asked for has come, or just time has passed.
struct time_passed {
    static constexpr const char* name = "time_passed";
};
struct stop_requested {
    static constexpr const char* name = "stop_requested";
};

// Events of an entry.

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
// An operator's change; the answer tells whether it was committed.
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

// Events of an agent.

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
    // True if the endpoint certainly received nothing of the call.
    bool neverSent = false;
};
// The endpoint's own report of its health and load. It lags.
struct engine_probed {
    static constexpr const char* name = "engine_probed";
    bool healthy = false;
    // Changes whenever the endpoint's process starts anew.
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
