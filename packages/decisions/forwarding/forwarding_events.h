#pragma once

#include "decisions/forwarding/attempt_ending.h"
#include "model/crash_news.h"
#include "model/demand_report.h"
#include "model/endpoint_limit.h"
#include "model/endpoint_news.h"
#include "model/identifiers.h"
#include "model/response_defect.h"
#include "model/routing.h"
#include "model/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
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
    // Identifies the parts of the prompt that other requests may share, in their order.
    std::vector<std::uint64_t> sharedPromptParts;
    std::uint32_t promptTokens = 0;
    // Most tokens that the answer may have.
    std::uint32_t answerTokens = 0;
    // Tokens of the answer that the caller expects; zero if it does not say. Often far off.
    std::uint32_t expectedAnswerTokens = 0;
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
    // For NotSent: nothing listens at the endpoint's address.
    bool connectionRefused = false;
    // Why the answer was not passed on, if one came.
    response_defect defect = response_defect::None;
};

// The endpoint has sent nothing for the time that the attempt's timeouts name. Posted again from time to time while that lasts.
struct attempt_silent {
    instant now;
    request_number request = 0;
    bool answerBegun = false;
};

// An answer of the endpoint announces that it leaves.
struct endpoint_leaving_announced {
    instant now;
    endpoint_id endpoint;
};

// The head of an answer has come, and says this of the requests that its endpoint takes.
struct endpoint_limit_stated {
    instant now;
    request_number request = 0;
    limit_statement statement;
};

// The endpoint's whole answer has been sent to the caller.
struct attempt_succeeded {
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
struct service_wait_ended {
    instant now;
    request_number request = 0;
};

struct caller_disconnected {
    instant now;
    request_number request = 0;
};

struct deadline_passed {
    instant now;
    request_number request = 0;
    bool answerBegun = false;
};

// A read of the configuration, sent at readSentAt, was answered. Without a configuration it confirmed the known one.
struct configuration_read {
    instant now;
    instant readSentAt;
    std::optional<routing_configuration> configuration;
};

// The set of zones that operators have taken out of service.
struct out_of_service_zones_changed {
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
struct registry_read {
    instant now;
    std::vector<endpoint_record> records;
};

// The registry became unreachable, or reachable again.
struct registry_access_changed {
    instant now;
    bool reachable = true;
    // What shows the change, for the log.
    std::vector<std::pair<std::string_view, std::string>> evidence;
};

// The store that holds the registry came back from an older copy, and may list endpoints that have left.
struct registry_restored {
    instant now;
};

struct endpoint_load_received {
    instant now;
    endpoint_load load;
};

// The agent beside the endpoint that was started at that time at the address saw it end.
struct endpoint_death_reported {
    instant now;
    std::string address;
    std::uint64_t startedAtMs = 0;
};

// The connection that a probe_endpoint effect opened was refused, or was not.
struct endpoint_probed {
    instant now;
    endpoint_id endpoint;
    bool refused = false;
};

// Addresses of the endpoints whose agents report their load, and of those to which this entry subscribes.
struct load_subset_changed {
    instant now;
    std::set<std::string> reporting;
    std::set<std::string> subscribed;
};

struct entry_presence_received {
    instant now;
    entry_presence presence;
};

// Another entry told what it knows of endpoints' limits.
struct endpoint_limits_told {
    instant now;
    std::vector<endpoint_limit_record> records;
};

// Another entry asks for a request of this one in a turn of a limited endpoint.
struct permit_asked {
    instant now;
    instance_id asker;
    permit_question question;
};

struct permit_answered {
    instant now;
    permit_answer answer;
};

// Another entry told what its callers ask of a service.
struct demand_reported {
    instant now;
    demand_report report;
};

// Another entry told what it knows of suspects.
struct crash_records_received {
    instant now;
    std::vector<crash_record> records;
};

// The store's table of suspects was read, or changes of it.
struct crash_table_read {
    instant now;
    // The whole table was read.
    bool isWhole = false;
    std::vector<crash_record> records;
    std::vector<suspect_key> removed;
};

// The process was asked to stop, and answers nothing after that time.
struct stop_announced {
    instant now;
    instant endsAt;
};

// That time has come: whatever is in flight ends now.
struct stop_reached {
    instant now;
};

// The store lists this many entries, and this many besides this one.
struct entry_count_read {
    instant now;
    std::size_t entries = 0;
    std::size_t others = 0;
    // Number of entries whose names are before this one's.
    std::size_t position = 0;
    // The names of all of them.
    std::vector<std::string> names;
};

// Periodic tick for state that expires with time.
struct timer_ticked {
    instant now;
};

using forwarding_event = std::variant<request_arrived, attempt_ended, attempt_silent, attempt_succeeded, stream_advanced, service_wait_ended,
    caller_disconnected, deadline_passed,
    configuration_read, out_of_service_zones_changed, endpoint_listed, endpoint_unlisted, registry_read,
    registry_access_changed, registry_restored, endpoint_leaving_announced, endpoint_limit_stated, endpoint_limits_told, permit_asked, permit_answered, demand_reported, endpoint_load_received, endpoint_death_reported, endpoint_probed, load_subset_changed, entry_presence_received, crash_records_received, crash_table_read, entry_count_read, timer_ticked, stop_announced, stop_reached>;

} // namespace appleramp
