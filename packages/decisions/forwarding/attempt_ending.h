#pragma once

#include "model/routing.h"

#include <string_view>

namespace appleramp {

// The ways in which one attempt at an endpoint can end without a whole answer.
enum class attempt_ending {
    // The connection was refused or not established in time, or closed before a byte was handed to the network.
    NotSent,
    // The endpoint states that it did not run the request: it is full or leaving, or its group cannot take steps.
    Rejected,
    // Another endpoint answered at this address.
    WrongEndpoint,
    // Closed or reset after the request was sent and before any answer.
    NoAnswer,
    // Closed or reset in the middle of the answer, or the answer ended inside an event.
    TruncatedAnswer,
    // The response is malformed or belongs to another request.
    InvalidAnswer,
    // The endpoint ran the request and reported its failure in a whole answer.
    FailureAnswer,
    // The endpoint answered with a status that promises callers that the request was not executed, and did not state that itself.
    UnprovenRefusal,
    // Cancelled by the entry after a timeout.
    TimedOut,
};

// Whether the endpoint executed a request, as far as the entry can tell.
enum class execution_status {
    NotRun,
    MayHaveRun,
    HasRun,
};

// What the ending shows about execution. Only the endpoint's own statement, or that nothing was sent, proves NotRun.
execution_status executionStatusAfter(attempt_ending ending);

// True if the request may be sent to another endpoint after that ending.
bool mayRetry(const route& route, attempt_ending ending);

std::string_view nameOf(attempt_ending ending);

} // namespace appleramp
