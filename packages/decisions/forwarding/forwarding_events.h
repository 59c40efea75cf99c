#pragma once

#include "decisions/forwarding/attempt_ending.h"
#include "model/endpoint_news.h"
#include "model/identifiers.h"
#include "model/routing.h"
#include "model/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace appleramp {

// The parts of a caller's request on which routing decides.
struct caller_request {
    std::string host;
    std::string path;
    // Assigned by the caller; each send of a request has its own.
    std::string sendId;
    std::string apiKey;
    // How long the caller waits; none if not stated.
    std::optional<duration> timeout;
    // Hash of path, caller and body; equal for every send of the same request.
    std::uint64_t contentHash = 0;
    std::uint32_t promptTokens = 0;
    std::uint32_t answerTokens = 0;
};

struct request_arrived {
    instant now;
    request_number request = 0;
    caller_request caller;
};

// An attempt ended without a whole answer.
struct attempt_ended {
    instant now;
    request_number request = 0;
    attempt_ending ending = attempt_ending::NoAnswer;
    // Events of the answer have already been sent to the caller.
    bool answerBegun = false;
    // Retry-After of the endpoint's answer, if it gave one.
    std::optional<duration> retryAfter;
};

// The endpoint's whole answer has been sent to the caller.
struct attempt_answered {
    instant now;
    request_number request = 0;
};

// An event of a stream has been sent to the caller.
struct stream_advanced {
    instant now;
    request_number request = 0;
    // Time since the previous event; none for the first event of an attempt.
    std::optional<duration> pause;
};

// The time set by a wait_for_service effect has come.
struct wait_over {
    instant now;
    request_number request = 0;
};

struct forwarded_caller_left {
    instant now;
    request_number request = 0;
};

struct deadline_passed {
    instant now;
    request_number request = 0;
    bool answerBegun = false;
};

// A read of the configuration, sent at readSentAt, was answered. Without a configuration it confirmed the known one.
struct configuration_confirmed {
    instant now;
    instant readSentAt;
    std::optional<routing_configuration> configuration;
};

// The set of zones that operators have taken out of service.
struct zones_out_changed {
    instant now;
    std::set<availability_zone_id> zones;
};

struct endpoint_listed {
    instant now;
    endpoint_record record;
};

struct endpoint_unlisted {
    instant now;
    endpoint_id endpoint;
};

// A complete read of the registry.
struct endpoints_read {
    instant now;
    std::vector<endpoint_record> records;
};

// The registry became unreachable, or reachable again.
struct registry_access_changed {
    instant now;
    bool reachable = true;
};

struct endpoint_load_heard {
    instant now;
    endpoint_load load;
};

struct entry_heard {
    instant now;
    entry_presence presence;
};

// Another entry announced that an endpoint broke down while it ran a request with that content hash.
struct breakdown_heard {
    instant now;
    std::uint64_t content = 0;
    // The send whose attempt broke.
    std::string sendId;
};

// The store lists this many entries.
struct entries_listed {
    instant now;
    std::size_t entries = 0;
};

// Periodic tick for state that expires with time.
struct time_passed_by {
    instant now;
};

using forwarding_event = std::variant<request_arrived, attempt_ended, attempt_answered, stream_advanced, wait_over,
    forwarded_caller_left, deadline_passed,
    configuration_confirmed, zones_out_changed, endpoint_listed, endpoint_unlisted, endpoints_read,
    registry_access_changed, endpoint_load_heard, entry_heard, breakdown_heard, entries_listed, time_passed_by>;

} // namespace appleramp
