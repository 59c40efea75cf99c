#pragma once

#include "model/identifiers.h"

#include <cstdint>

namespace appleramp {

enum class binding_state {
    // Only the given attempt may run.
    Bound,
    // The given attempt certainly did not run; another attempt may bind the key.
    Released,
};

// Row of the table service for a caller's idempotency key: the attempt, and its agent, that may run the request.
struct key_binding {
    attempt_id attempt;
    endpoint_id endpoint;
    instance_id agent;
    incarnation agentLife = 0;
    // Hash of the content of the request that bound the key.
    std::uint64_t contentHash = 0;
    binding_state state = binding_state::Bound;
};

} // namespace appleramp
