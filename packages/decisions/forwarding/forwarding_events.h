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

// What routing needs to know of a caller's request.
struct caller_request {
    std::string host;
    std::string path;
    // The caller's name for this send; each send has its own.
    std::string sendId;
    std::string apiKey;
    // How long the caller waits; none if it did not say.
    std::optional<duration> timeout;
    // Hash of path, caller and body: the same request has the same hash whenever it comes.
    std::uint64_t contentHash = 0;
    std::uint32_t promptTokens = 0;
    std::uint32_t answerTokens = 0;
};

struct request_arrived {
    instant now;
    request_number request = 0;
    caller_request caller;
};

struct attempt_ended {
    instant now;
    request_number request = 0;
    attempt_ending ending = attempt_ending::NoAnswer;
    // Events of the answer have gone to the caller.
    bool answerBegun = false;
    // When the endpoint asked to be left alone for some time.
    std::optional<duration> retryAfter;
};

// The endpoint's whole answer has gone to the caller.
struct attempt_answered {
    instant now;
    request_number request = 0;
};

// An event of a stream has gone to the caller.
struct stream_advanced {
    instant now;
    request_number request = 0;
    // Since the event before it; none for the first of an attempt.
    std::optional<duration> pause;
};

// The time that a request was to wait is over.
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

// A read of the configuration that was sent at that time; without a configuration it confirmed the one that is known.
struct configuration_confirmed {
    instant now;
    instant readSentAt;
    std::optional<routing_configuration> configuration;
};

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

struct endpoints_read {
    instant now;
    std::vector<endpoint_record> records;
};

// The registry can't be read, or can be read again.
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

// An endpoint broke down while it ran a request of that content.
struct breakdown_heard {
    instant now;
    std::uint64_t content = 0;
    // Names the broken attempt.
    std::string sendId;
};

// The number of entries that the store lists.
struct entries_listed {
    instant now;
    std::size_t entries = 0;
};

struct time_passed_by {
    instant now;
};

using forwarding_event = std::variant<request_arrived, attempt_ended, attempt_answered, stream_advanced, wait_over,
    forwarded_caller_left, deadline_passed,
    configuration_confirmed, zones_out_changed, endpoint_listed, endpoint_unlisted, endpoints_read,
    registry_access_changed, endpoint_load_heard, entry_heard, breakdown_heard, entries_listed, time_passed_by>;

} // namespace appleramp
