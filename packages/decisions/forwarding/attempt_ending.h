#pragma once

#include "model/routing.h"

#include <string_view>

namespace appleramp {

// The ways in which one attempt at an endpoint can end without a whole answer.
enum class attempt_ending {
    // The connection was refused or not established in time, or closed before a byte was handed to the network.
    NotSent,
    // The endpoint says that it did not run the request: it is full or leaving, or its group can't step.
    Rejected,
    // Another endpoint answers at this address.
    WrongEndpoint,
    // Closed or reset after the request was sent and before any answer.
    NoAnswer,
    // Closed or reset inside the answer.
    CutAnswer,
    // The bytes are no answer, or answer another request.
    ForeignAnswer,
    // The endpoint failed the request and says so in a whole answer.
    FailureAnswer,
    // Cancelled here, since the endpoint was silent for too long.
    Silent,
};

enum class run_proof {
    NotRun,
    MayHaveRun,
    HasRun,
};

// What the ending proves of the request. Only the endpoint's own word or an unsent request proves that it did not run.
run_proof proofOf(attempt_ending ending);

// True if the request may go to another endpoint after that ending.
bool mayRepeat(const route& route, attempt_ending ending);

std::string_view nameOf(attempt_ending ending);

} // namespace appleramp
