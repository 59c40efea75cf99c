#pragma once

#include "model/instance.h"
#include "model/journal.h"
#include "model/key_binding.h"
#include "model/messages.h"
#include "model/platform_call.h"
#include "model/request.h"

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace appleramp {

// The stable texts of an enumeration's values in messages, headers and logs, in the order of the enumerators.
template <typename Enumeration>
struct enum_names;

template <>
struct enum_names<execution> {
    static constexpr std::array<std::string_view, 4> names { "not_run", "not_started", "unknown", "completed" };
};
template <>
struct enum_names<priority> {
    static constexpr std::array<std::string_view, 3> names { "batch", "normal", "urgent" };
};
template <>
struct enum_names<process_role> {
    static constexpr std::array<std::string_view, 4> names { "entry", "agent", "direct_entry",
        "direct_agent" };
};
template <>
struct enum_names<endpoint_kind> {
    static constexpr std::array<std::string_view, 2> names { "model", "service" };
};
template <>
struct enum_names<refusal> {
    static constexpr std::array<std::string_view, 11> names { "no_slot", "leaving", "zone_out", "expired", "tombstone",
        "not_served", "suspect_refused", "key_used", "key_reused", "key_expired", "key_invalid" };
};
template <>
struct enum_names<failure_cause> {
    static constexpr std::array<std::string_view, 5> names { "endpoint_crashed", "endpoint_timeout", "cancelled",
        "agent_forgot", "load_refused" };
};
template <>
struct enum_names<suspicion> {
    static constexpr std::array<std::string_view, 3> names { "suspected", "cleared", "convicted" };
};
template <>
struct enum_names<attempt_state> {
    static constexpr std::array<std::string_view, 5> names { "never_started", "running", "completed", "failed",
        "forgotten" };
};
template <>
struct enum_names<platform_status> {
    static constexpr std::array<std::string_view, 5> names { "done", "conflict", "not_found", "unavailable", "unknown" };
};
template <>
struct enum_names<instance_state> {
    static constexpr std::array<std::string_view, 2> names { "live", "leaving" };
};
template <>
struct enum_names<binding_state> {
    static constexpr std::array<std::string_view, 2> names { "bound", "released" };
};
template <>
struct enum_names<decision_kind> {
    static constexpr std::array<std::string_view, 14> names { "placed", "queued", "refused", "retried", "completed",
        "failed", "grant_changed", "configuration_adopted", "key_bound", "key_unknown", "membership", "lease",
        "expert_map", "suspect" };
};

template <typename Enumeration>
constexpr std::string_view nameOf(Enumeration value)
{
    return enum_names<Enumeration>::names.at(static_cast<std::size_t>(value));
}

template <typename Enumeration>
constexpr std::optional<Enumeration> fromName(std::string_view name)
{
    const auto& names = enum_names<Enumeration>::names;
    for (std::size_t index = 0; index < names.size(); ++index) {
        if (names.at(index) == name)
            return static_cast<Enumeration>(index);
    }
    return std::nullopt;
}

} // namespace appleramp
