#pragma once

#include "model/identifiers.h"
#include "model/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace appleramp {

// What is known about the execution of an order after a send. It describes the order as a whole, not only that send.
enum class execution {
    // The order has had no effect, and no earlier send with its key can still have one.
    NotRun,
    // This send started nothing. Earlier sends may have.
    NotStarted,
    // The order may or may not have had an effect.
    Unknown,
    // The order has had its effect.
    Completed,
};

// Higher priorities are served first; under overload, the lowest is shed first.
enum class priority {
    Batch,
    Normal,
    Urgent,
};

struct http_header {
    std::string name;
    std::string value;
};

// A caller's request as accepted by an entry.
struct service_request {
    service_id service;
    team_id team;
    priority urgency = priority::Normal;
    // True if the route is declared repeatable: the request may be resent even if it may already have run.
    bool repeatable = false;
    std::optional<idempotency_key> key;
    adapter_id adapter;
    std::string method;
    // Path and query that the endpoint receives.
    std::string path;
    std::vector<http_header> headers;
    std::string body;
    // Hash of service, method, path and body; equal at all entries for equal content.
    std::uint64_t contentHash = 0;
    // Hashes of the prompt's prefixes of increasing length.
    std::vector<std::uint64_t> prefixHashes;
    // Remaining time that the caller waits for the response.
    duration timeout {};
    // W3C trace context of the span that sends this request.
    std::string traceparent;
};

} // namespace appleramp
