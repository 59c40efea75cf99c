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

// A record of one decision and its reason, for operators.
struct decision {
    instant at;
    decision_kind kind = decision_kind::Placed;
    // What the decision is about: a request's trace id, or an endpoint, group, team or zone.
    std::string subject;
    std::string reason;
};

} // namespace appleramp
