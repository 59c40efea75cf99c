#pragma once

#include "model/identifiers.h"
#include "model/time.h"

#include <string>

namespace appleramp {

enum class decision_kind {
    Placed,
    Queued,
    Refused,
    Retried,
    Completed,
    Failed,
    GrantChanged,
    ConfigurationAdopted,
    KeyBound,
    KeyUnknown,
    Membership,
    Lease,
    ExpertMap,
    Suspect,
};

// One decision with its reason, as operators read it.
struct decision {
    instant at;
    decision_kind kind = decision_kind::Placed;
    // The request's trace id or the endpoint, group, team or zone that it concerns.
    std::string subject;
    std::string reason;
};

} // namespace appleramp
