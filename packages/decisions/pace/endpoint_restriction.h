#pragma once

#include "model/identifiers.h"
#include "model/time.h"

#include <optional>
#include <string_view>

namespace appleramp {

// Why an endpoint takes less than its peers. If several reasons hold, the first in this order is stated.
enum class restriction_reason {
    // It announced that it leaves.
    Leaving,
    // Operators took its zone out of service.
    ZoneOut,
    // It asked for no requests for a while.
    Paused,
    // It refused a connection or a request, or another endpoint answered in its place.
    Backoff,
    // It fails or delays more requests than its peers.
    Outlier,
    // It names a limit.
    NamedLimit,
    // It started or recovered, and its rate still grows.
    Ramp,
    // The registry says that it is cold.
    Cold,
};

// As in logs, metrics and the operations page.
std::string_view nameOf(restriction_reason reason);

struct endpoint_restriction {
    restriction_reason reason = restriction_reason::Ramp;
    instant since;
    // Nothing if the end is not known.
    std::optional<instant> until;
    // Fraction of its usual rate that the endpoint takes.
    double share = 0;
};

// Whether this entry may send an endpoint a request now.
struct send_permission {
    bool isAllowed = false;
    // If not, when it may; nothing if that is not known.
    std::optional<instant> opensAt;
};

// A restriction that began, or ended, at an endpoint.
struct restriction_change {
    endpoint_id endpoint;
    endpoint_restriction restriction;
    bool hasEnded = false;
};

// A restriction as operators see it.
struct restriction_view {
    endpoint_id endpoint;
    service_id service;
    endpoint_restriction restriction;
};

} // namespace appleramp
