#pragma once

#include "model/identifiers.h"
#include "model/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace appleramp {

// What is known of an order after a send. It speaks of the order, not of the one send.
enum class execution {
    // The order has not taken effect, and no earlier send of its key still can.
    NotRun,
    // This send began nothing; nothing is said of earlier sends.
    NotStarted,
    // The order may or may not have taken effect.
    Unknown,
    // The order has taken effect.
    Completed,
};

// Higher is served first; the lowest is shed first.
enum class priority {
    Batch,
    Normal,
    Urgent,
};

struct http_header {
    std::string name;
    std::string value;
};

// A caller's request as an entry accepted it.
struct service_request {
    service_id service;
    team_id team;
    priority urgency = priority::Normal;
    // True if the route is declared repeatable: it may be sent again although it may have run.
    bool repeatable = false;
    std::optional<idempotency_key> key;
    adapter_id adapter;
    std::string method;
    // Path at the endpoint, with its query.
    std::string path;
    std::vector<http_header> headers;
    std::string body;
    // Hash of service, method, path and body: the same content has the same hash at every entry.
    std::uint64_t contentHash = 0;
    // Hashes of growing prompt prefixes, shortest first.
    std::vector<std::uint64_t> prefixHashes;
    // How long the caller still waits for the answer.
    duration timeout {};
    // W3C trace context of the span that sends this request.
    std::string traceparent;
};

} // namespace appleramp
