#include "platform/platform_json.h"

#include "platform/platform_error.h"

#include <nlohmann/json.hpp>

namespace appleramp {

namespace {

using nlohmann::json;

// Runs a parser and converts exceptions of the JSON library to platform_error.
template <typename Parser>
auto withPlatformErrors(const char* description, Parser&& parser)
{
    try {
        return parser();
    } catch (const json::exception& exception) {
        throw platform_error(std::string(description) + " is not the expected JSON: " + exception.what());
    }
}

struct call_writer {
    json operator()(const table_get& call) const { return { { "op", "get" }, { "key", call.key } }; }
    json operator()(const table_put& call) const
    {
        return { { "op", "put" }, { "key", call.key }, { "value", call.value }, { "expected", call.expected } };
    }
    json operator()(const table_remove& call) const
    {
        return { { "op", "remove" }, { "key", call.key }, { "expected", call.expected } };
    }
    json operator()(const table_list& call) const
    {
        return { { "op", "list" }, { "prefix", call.prefix }, { "after", call.after }, { "limit", call.limit } };
    }
    json operator()(const object_get&) const { throw platform_error("an object call cannot be batched"); }
    json operator()(const object_put&) const { throw platform_error("an object call cannot be batched"); }
};

process_role roleFromText(const std::string& text)
{
    if (text == "entry")
        return process_role::Entry;
    if (text == "agent")
        return process_role::Agent;
    throw platform_error("unknown role '" + text + "' in the instance list");
}

instance_state stateFromText(const std::string& text)
{
    if (text == "live")
        return instance_state::Live;
    if (text == "leaving")
        return instance_state::Leaving;
    throw platform_error("unknown state '" + text + "' in the instance list");
}

platform_call parseCall(const json& call)
{
    const auto operation = call.at("op").get<std::string>();
    if (operation == "get")
        return table_get { call.at("key") };
    if (operation == "put")
        return table_put { call.at("key"), call.at("value"), call.at("expected").get<row_version>() };
    if (operation == "remove")
        return table_remove { call.at("key"), call.at("expected").get<row_version>() };
    if (operation == "list")
        return table_list { call.at("prefix"), call.at("after"), call.at("limit").get<std::uint32_t>() };
    throw platform_error("unknown operation '" + operation + "' in a batch");
}

} // namespace

json rowToJson(const table_row& row)
{
    return { { "key", row.key }, { "value", row.value }, { "version", row.version } };
}

table_row rowFromJson(const json& row)
{
    return withPlatformErrors("a row",
        [&] { return table_row { row.at("key"), row.at("value"), row.at("version").get<row_version>() }; });
}

json callToJson(const platform_call& call)
{
    return std::visit(call_writer {}, call);
}

platform_call callFromJson(const json& call)
{
    return withPlatformErrors("a call", [&] { return parseCall(call); });
}

json instanceToJson(const listed_instance& instance)
{
    return { { "instance", instance.instance.str() },
        { "role", instance.role == process_role::Entry ? "entry" : "agent" }, { "zone", instance.zone.str() },
        { "link_address", instance.linkAddress }, { "caller_address", instance.callerAddress },
        { "state", instance.state == instance_state::Live ? "live" : "leaving" } };
}

listed_instance instanceFromJson(const json& line)
{
    return withPlatformErrors("an instance", [&] {
        return listed_instance { instance_id(line.at("instance").get<std::string>()), roleFromText(line.at("role")),
            availability_zone_id(line.at("zone").get<std::string>()), line.at("link_address"),
            line.at("caller_address"), stateFromText(line.at("state")) };
    });
}

} // namespace appleramp
