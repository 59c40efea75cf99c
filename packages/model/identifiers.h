#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace appleramp {

// A name of one kind of thing. Identifiers of different kinds do not mix: the tag is part of the type.
template <typename Tag>
class identifier {
public:
    identifier() = default;
    explicit identifier(std::string value)
        : m_value(std::move(value))
    {
    }

    const std::string& str() const { return m_value; }
    std::string_view view() const { return m_value; }
    bool empty() const { return m_value.empty(); }

    friend auto operator<=>(const identifier&, const identifier&) = default;

private:
    std::string m_value;
};

using availability_zone_id = identifier<struct availability_zone_tag>;
using endpoint_id = identifier<struct endpoint_tag>;
using instance_id = identifier<struct instance_tag>;
using team_id = identifier<struct team_tag>;
// A model or a plain service: whatever a request names as its destination.
using service_id = identifier<struct service_tag>;
// An adapter loaded beside a model.
using adapter_id = identifier<struct adapter_tag>;
// The caller's or an issued idempotency key.
using idempotency_key = identifier<struct idempotency_key_tag>;
using group_id = identifier<struct group_tag>;

// One life of a process. Higher means later for the same instance; zero means unknown.
using incarnation = std::uint64_t;

// Names one send of a request to one endpoint. Unique in the fleet: the entry's incarnation and a counter.
struct attempt_id {
    incarnation entry = 0;
    std::uint64_t number = 0;

    friend auto operator<=>(const attempt_id&, const attempt_id&) = default;
};

// Names one request at the entry that accepted it.
using request_number = std::uint64_t;

// Version of the fleet's configuration document. Zero means that none is known.
using configuration_version = std::uint64_t;

// Grows with each holder of a lease. Zero means that none was ever held.
using fencing_number = std::uint64_t;

} // namespace appleramp
