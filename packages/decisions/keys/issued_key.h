#pragma once

#include "model/identifiers.h"
#include "model/time.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace appleramp {

// A key that an agent granted: only the named life of that agent may run its order, once, from its own memory.
struct issued_key {
    endpoint_id endpoint;
    instance_id agent;
    incarnation agentLife = 0;
    std::uint64_t number = 0;
    // By the agent's clock.
    instant expires;
};

// True if the text claims to be an issued key; callers' own keys must not begin so.
bool looksIssued(const idempotency_key& key);

// The key's text, with a check over it and the service.
idempotency_key encodeIssuedKey(const issued_key& key, const service_id& service);

// Nothing if the text is not an issued key of this service.
std::optional<issued_key> decodeIssuedKey(const idempotency_key& key, const service_id& service);

} // namespace appleramp
