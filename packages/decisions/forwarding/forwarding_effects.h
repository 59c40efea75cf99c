#pragma once

#include "model/crash_news.h"
#include "model/demand_report.h"
#include "model/endpoint_limit.h"
#include "model/identifiers.h"
#include "model/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace appleramp {

// Send the request to an endpoint.
struct send_attempt {
    request_number request = 0;
    endpoint_id endpoint;
    std::string address;
    service_id service;
    // Set for requests of a team.
    team_id team;
    // Time until the request's deadline, which is the earlier one of the caller's timeout and the route's.
    duration timeLeft {};
    // Send on a new connection: a kept one may already have been closed by the endpoint, which leaves open whether the
    // request was executed.
    bool requiresNewConnection = false;
    // The answer is a stream of events.
    bool isStream = false;
    // Timeouts for the start of the answer and between two events, after which attempt_silent is posted; zero for none.
    duration answerStartTimeout {};
    duration eventGapTimeout {};
    std::uint32_t urgencyRank = 0;
    // Age of the load report by which the endpoint was chosen; nothing without one.
    std::optional<duration> loadReportAge;
};

enum class refusal_reason {
    // The configuration is missing or too old.
    NotReady,
    UnknownRoute,
    UnknownKey,
    // No usable endpoint has capacity.
    NoCapacity,
    // Endpoints broke down while they ran this request before.
    BreaksEndpoints,
    // An endpoint broke down under this request before, and it is not tried again now.
    SuspectRunning,
    // The deadline passed and the request was not executed.
    ExpiredBeforeRun,
    // The request may have been executed, and no answer came.
    OutcomeUnknown,
    // The deadline passed, and the request may have been executed.
    TimedOut,
    // The process ends before the request could be answered, and it was not executed.
    Stopping,
    // This process has no memory for the request, and did not send it.
    NoMemory,
};

std::string_view nameOf(refusal_reason reason);
// True if the refusal guarantees that the request has not been and will not be executed.
bool guaranteesNotExecuted(refusal_reason reason);

struct refuse_request {
    request_number request = 0;
    refusal_reason reason = refusal_reason::NotReady;
    std::optional<duration> retryAfter;
};

// Do not send the request yet; post service_wait_ended at that time.
struct wait_for_service {
    request_number request = 0;
    instant until;
};

// Forward the endpoint's own failure answer to the caller.
struct forward_failure_answer {
    request_number request = 0;
};

// Abort an answer that has begun, so that the caller sees that it is incomplete.
struct abort_answer {
    request_number request = 0;
};

// Cancel the current attempt: the caller left, the deadline passed, or the stream moves to another endpoint.
struct cancel_forwarded_request {
    request_number request = 0;
};

enum class record_recipients {
    AllEntries,
    // A few, chosen at random each time.
    SomeEntries,
};

// Tell other entries what this one knows of suspects.
struct share_crash_records {
    std::vector<crash_record> records;
    record_recipients recipients = record_recipients::AllEntries;
};

// Tell other entries of the limits that endpoints name.
struct share_endpoint_limits {
    std::vector<endpoint_limit_record> records;
    record_recipients recipients = record_recipients::AllEntries;
};

// Ask another entry for a request in a turn of a limited endpoint; post permit_answered if it answers.
struct ask_permit {
    instance_id owner;
    permit_question question;
};

struct answer_permit {
    instance_id asker;
    permit_answer answer;
};

// Tell these entries what callers ask of a service.
struct share_demand {
    demand_report report;
    std::vector<instance_id> recipients;
};

// Write the record of a suspect to the store, for entries that start or can't be told. Retry until it is written.
struct store_crash_record {
    crash_record record;
};

struct remove_stored_crash_record {
    suspect_key key;
};

// Open a connection to the endpoint and close it at once, to see whether it still listens; post endpoint_probed.
struct probe_endpoint {
    endpoint_id endpoint;
    std::string address;
};

// Write a log line with a decision or change of state and the inputs it is based on.
struct log_decision {
    std::string_view what;
    // Empty if the line concerns no request.
    std::string sendId;
    std::vector<std::pair<std::string_view, std::string>> inputs;
};

using forwarding_effect = std::variant<send_attempt, refuse_request, wait_for_service, forward_failure_answer, abort_answer, cancel_forwarded_request,
    share_crash_records, share_endpoint_limits, ask_permit, answer_permit, share_demand, store_crash_record, remove_stored_crash_record, probe_endpoint, log_decision>;
using forwarding_effects = std::vector<forwarding_effect>;

} // namespace appleramp
