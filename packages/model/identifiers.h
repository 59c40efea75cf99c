#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace appleramp {

// A string identifier. The tag makes identifiers of different kinds distinct types that cannot be mixed up.
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
// The model or plain service that a request is addressed to.
using service_id = identifier<struct service_tag>;
// An adapter that is loaded in addition to a model.
using adapter_id = identifier<struct adapter_tag>;
// An idempotency key, either chosen by the caller or issued by the system.
using idempotency_key = identifier<struct idempotency_key_tag>;
using group_id = identifier<struct group_tag>;

// Identifies one run of a process. For the same instance, a later run has a higher value; zero means unknown.
using incarnation = std::uint64_t;

// Identifies one send of a request to one endpoint. The entry's incarnation and a counter make it unique in the fleet.
struct attempt_id {
    incarnation entry = 0;
    std::uint64_t number = 0;

    friend auto operator<=>(const attempt_id&, const attempt_id&) = default;
};

// Identifies a request within the entry that accepted it.
using request_number = std::uint64_t;

// Version of the fleet configuration. Zero means that no version is known.
using configuration_version = std::uint64_t;

// Fencing token of a lease: increases with each new holder. Zero means that the lease was never held.
using fencing_number = std::uint64_t;

} // namespace appleramp
