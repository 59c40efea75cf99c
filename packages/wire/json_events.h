#pragma once

// JSON conversions of events and effects, for this package's .cpp files.

#include "model/effects.h"
#include "wire/json_messages.h"

namespace appleramp {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(table_row, key, value, version)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(table_get, key)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(table_put, key, value, expected)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(table_remove, key, expected)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(table_list, prefix, after, limit)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(object_get, key)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(object_put, key, value)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(platform_result, status, rows)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(listed_instance, instance, role, zone, linkAddress, callerAddress, state)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(decision, at, kind, subject, reason)

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(link_opened, link, dialled)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(link_closed, link, dialled)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(message_received, link, envelope)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(platform_replied, operation, result)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(instances_listed, instances)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(request_received, number, request)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(caller_left, number)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(addresses_requested, number, team)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(keys_requested, number, service)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(change_requested, number, changeId, change)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(status_requested, number)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(configuration_requested, number)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(engine_head, call, status, headers)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(engine_end, call)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(engine_failed, call, cause, neverSent)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(engine_probed, healthy, bootId, running, capacity)

inline void to_json(nlohmann::json& document, const engine_data& data)
{
    document = nlohmann::json { { "call", data.call }, { "data", bytesToJson(data.data) } };
}
inline void from_json(const nlohmann::json& document, engine_data& data)
{
    document.at("call").get_to(data.call);
    data.data = bytesFromJson(document.at("data"));
}

// Types without members are encoded as empty objects.
template <typename Empty>
concept empty_message = std::is_empty_v<Empty> && requires
{
    Empty::name;
};

template <empty_message Empty>
void to_json(nlohmann::json& document, const Empty& /*value*/)
{
    document = nlohmann::json::object();
}
template <empty_message Empty>
void from_json(const nlohmann::json& /*document*/, Empty& /*value*/)
{
}

inline void to_json(nlohmann::json& document, const entry_event& event)
{
    document = nlohmann::json { { "at", event.at }, { "event", event.body } };
}
inline void from_json(const nlohmann::json& document, entry_event& event)
{
    document.at("at").get_to(event.at);
    document.at("event").get_to(event.body);
}
inline void to_json(nlohmann::json& document, const agent_event& event)
{
    document = nlohmann::json { { "at", event.at }, { "event", event.body } };
}
inline void from_json(const nlohmann::json& document, agent_event& event)
{
    document.at("at").get_to(event.at);
    document.at("event").get_to(event.body);
}

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(send_message, link, envelope)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(open_link, instance, address)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(close_link, link)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(call_platform, operation, call)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(record_decision, entry)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(problem, status, outcome, reason, detail, retryAfter)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(reply_problem, number, answer)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(reply_head, number, status, headers)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(reply_end, number)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(reply_aborted, number, answer)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(reply_document, number, status, json)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(finish_span, operation, traceparent, parentSpan, started, ended, outcome)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(call_engine, call, request)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(cancel_engine_call, call)

inline void to_json(nlohmann::json& document, const reply_data& data)
{
    document = nlohmann::json { { "number", data.number }, { "data", bytesToJson(data.data) } };
}
inline void from_json(const nlohmann::json& document, reply_data& data)
{
    document.at("number").get_to(data.number);
    data.data = bytesFromJson(document.at("data"));
}

} // namespace appleramp
