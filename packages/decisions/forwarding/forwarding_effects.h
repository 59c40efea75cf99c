#pragma once

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

// Hand the request to an endpoint.
struct send_attempt {
    request_number request = 0;
    endpoint_id endpoint;
    std::string address;
    service_id service;
    // Set for requests of a team.
    team_id team;
    // What is left of the caller's time and of the route's.
    duration timeLeft {};
    // The request must not meet a connection that the endpoint may have closed unseen.
    bool onlyNewConnection = false;
    // The answer is a stream of events.
    bool isStream = false;
    // Longest silence before the first byte and between events after which the attempt is given up; zero: none.
    duration firstSilence {};
    duration laterSilence {};
    std::uint32_t urgencyRank = 0;
};

enum class refusal_reason {
    // This process does not know enough, or its knowledge is too old.
    NotReady,
    UnknownRoute,
    UnknownKey,
    // No endpoint that may be used has room.
    NoCapacity,
    // The request broke down endpoints before.
    BreaksEndpoints,
    // Its time is over and it has not run.
    ExpiredUnrun,
    // It may have run, and no answer came.
    OutcomeUnknown,
    // The same, at the end of its time.
    TimedOut,
};

std::string_view nameOf(refusal_reason reason);
// True if the refusal promises that the request has not run and will not.
bool promisesNotRun(refusal_reason reason);

struct refuse_request {
    request_number request = 0;
    refusal_reason reason = refusal_reason::NotReady;
    std::optional<duration> retryAfter;
};

// Send nothing yet; ask again at that time.
struct wait_for_service {
    request_number request = 0;
    instant until;
};

// Give the caller the endpoint's own failure answer.
struct pass_failure_answer {
    request_number request = 0;
};

// End an answer that has begun, so that it does not look whole.
struct break_answer {
    request_number request = 0;
};

// The caller is gone: stop the endpoint's work.
struct cancel_forwarded {
    request_number request = 0;
};

struct tell_breakdown {
    std::uint64_t content = 0;
    // Names the broken attempt.
    std::string sendId;
};

// One line of the log: what was decided or is believed now, and from what.
struct log_decision {
    std::string_view what;
    // Empty if no request is concerned.
    std::string sendId;
    std::vector<std::pair<std::string_view, std::string>> inputs;
};

using forwarding_effect = std::variant<send_attempt, refuse_request, wait_for_service, pass_failure_answer, break_answer, cancel_forwarded,
    tell_breakdown, log_decision>;
using forwarding_effects = std::vector<forwarding_effect>;

} // namespace appleramp
