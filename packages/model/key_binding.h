#pragma once

#include "model/identifiers.h"

#include <cstdint>

namespace appleramp {

enum class binding_state {
    // The named attempt, and no other, may run.
    Bound,
    // The named attempt is proven not to have run; the next attempt may bind.
    Released,
};

// The table's row for a caller's key: which attempt at which agent may run the order.
struct key_binding {
    attempt_id attempt;
    endpoint_id endpoint;
    instance_id agent;
    incarnation agentLife = 0;
    // Content hash of the request that bound the key.
    std::uint64_t contentHash = 0;
    binding_state state = binding_state::Bound;
};

} // namespace appleramp
