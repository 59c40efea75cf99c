#pragma once

#include "model/identifiers.h"
#include "model/time.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace appleramp {

// An idempotency key issued by an agent. Only the named incarnation of that agent may run the request, at most once;
// its in-memory attempt_ledger ensures this without the table service.
struct issued_key {
    endpoint_id endpoint;
    instance_id agent;
    incarnation agentLife = 0;
    std::uint64_t number = 0;
    // On the agent's clock.
    instant expires;
};

// True if the key has the prefix of issued keys, which callers' own keys must not have.
bool hasIssuedKeyPrefix(const idempotency_key& key);

// Encodes the key as text, with a checksum over the text and the service name.
idempotency_key encodeIssuedKey(const issued_key& key, const service_id& service);

// Decodes an issued key. Empty if the text is malformed or its checksum does not match this service.
std::optional<issued_key> decodeIssuedKey(const idempotency_key& key, const service_id& service);

} // namespace appleramp
