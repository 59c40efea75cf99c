#pragma once

#include "model/identifiers.h"
#include "model/time.h"

#include <cstdint>
#include <limits>
#include <string>
#include <variant>

namespace appleramp {

// The answer says nothing of a limit: another endpoint gave it, or it is not certain that this one did.
struct limit_not_stated { };

// The endpoint's answer names no limit, so that none is in force any more.
struct no_limit { };

// The endpoint takes this many requests per second from all entries together.
struct request_limit {
    double requestsPerSecond = 0;
};

// The answer names a limit that is no number, or a negative one.
struct unreadable_limit {
    std::string value;
};

// What an answer of an endpoint says of the requests that it takes.
using limit_statement = std::variant<limit_not_stated, no_limit, request_limit, unreadable_limit>;

// What an entry tells the others of an endpoint's limit.
struct endpoint_limit_record {
    endpoint_id endpoint;
    // As endpoint_record::startedAtMs.
    std::uint64_t startedAtMs = 0;
    double requestsPerSecond = 0;
    // The endpoint no longer names the limit.
    bool isOver = false;
    // Time since the endpoint said so.
    duration age {};
    // Time since the first turn began; negative before it.
    duration turnsAge {};
};

// Asks the owner of a request in a turn for it, as all endpoints of the asker's service are at their limits.
struct permit_question {
    endpoint_id endpoint;
    // As endpoint_record::startedAtMs.
    std::uint64_t startedAtMs = 0;
    // Of the limit whose turns are counted.
    double requestsPerSecond = 0;
    std::uint64_t turn = 0;
    // The request of the asker that waits.
    request_number request = 0;

    bool operator==(const permit_question&) const = default;
};

// The turn in questions for a request of the owner's share of an endpoint that names no limit. Entries that do not know such
// questions refuse them, as no limit has that many turns.
constexpr std::uint64_t sharedTurn = std::numeric_limits<std::uint64_t>::max();

// The owner's answer: a granted request is the asker's, and the owner no longer sends it.
struct permit_answer {
    permit_question question;
    bool isGranted = false;
};

} // namespace appleramp
