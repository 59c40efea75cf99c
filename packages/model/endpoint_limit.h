#pragma once

#include "model/identifiers.h"
#include "model/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

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

} // namespace appleramp
