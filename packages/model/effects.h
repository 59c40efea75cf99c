#pragma once

#include "model/events.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace appleramp {

// Effects of both entries and agents.

struct send_message {
    static constexpr const char* name = "send_message";
    link_number link = 0;
    link_envelope envelope;
};
struct open_link {
    static constexpr const char* name = "open_link";
    instance_id instance;
    std::string address;
};
struct close_link {
    static constexpr const char* name = "close_link";
    link_number link = 0;
};
struct call_platform {
    static constexpr const char* name = "call_platform";
    operation_number operation = 0;
    platform_call call;
};
struct list_instances {
    static constexpr const char* name = "list_instances";
};
struct record_decision {
    static constexpr const char* name = "record_decision";
    decision entry;
};
// Ends the process: no work is left to finish.
struct stop_process {
    static constexpr const char* name = "stop_process";
};

// Effects of entries only.

// The error returned to a caller in place of the endpoint's response, as application/problem+json.
struct problem {
    std::uint16_t status = 503;
    execution outcome = execution::NotStarted;
    // Stable machine-readable error code, such as "no_capacity".
    std::string reason;
    std::string detail;
    std::optional<duration> retryAfter;
};
struct reply_problem {
    static constexpr const char* name = "reply_problem";
    request_number number = 0;
    problem answer;
};
struct reply_head {
    static constexpr const char* name = "reply_head";
    request_number number = 0;
    std::uint16_t status = 0;
    std::vector<http_header> headers;
};
struct reply_data {
    static constexpr const char* name = "reply_data";
    request_number number = 0;
    std::string data;
};
struct reply_end {
    static constexpr const char* name = "reply_end";
    request_number number = 0;
};
// Ends a reply with an explicit error after its head was already sent.
struct reply_aborted {
    static constexpr const char* name = "reply_aborted";
    request_number number = 0;
    problem answer;
};
// A complete JSON response that the entry itself produces.
struct reply_document {
    static constexpr const char* name = "reply_document";
    request_number number = 0;
    std::uint16_t status = 200;
    std::string json;
};
// Reports the finished trace span of one hop of a request.
struct finish_span {
    static constexpr const char* name = "finish_span";
    std::string operation;
    // W3C trace context of this span; the parent's span id is in parentSpan.
    std::string traceparent;
    std::string parentSpan;
    instant started;
    instant ended;
    std::string outcome;
};

using entry_effect = std::variant<send_message, open_link, close_link, call_platform, list_instances, record_decision,
    stop_process, reply_problem, reply_head, reply_data, reply_end, reply_aborted, reply_document, finish_span>;
using entry_effects = std::vector<entry_effect>;

// Effects of agents only.

struct call_engine {
    static constexpr const char* name = "call_engine";
    call_number call = 0;
    service_request request;
};
struct cancel_engine_call {
    static constexpr const char* name = "cancel_engine_call";
    call_number call = 0;
};
struct probe_engine {
    static constexpr const char* name = "probe_engine";
};

using agent_effect = std::variant<send_message, open_link, close_link, call_platform, list_instances, record_decision,
    stop_process, finish_span, call_engine, cancel_engine_call, probe_engine>;
using agent_effects = std::vector<agent_effect>;

} // namespace appleramp
