#include "replay/trace_header.h"

#include "model/enum_names.h"
#include "replay/replay_error.h"

#include <nlohmann/json.hpp>

namespace appleramp {

namespace {

constexpr int formatVersion = 1;

template <typename Identifier>
nlohmann::json toJsonArray(const std::vector<Identifier>& identifiers)
{
    auto names = nlohmann::json::array();
    for (const Identifier& identifier : identifiers)
        names.push_back(identifier.str());
    return names;
}

template <typename Identifier>
std::vector<Identifier> identifiersFrom(const nlohmann::json& names)
{
    std::vector<Identifier> identifiers;
    for (const auto& name : names)
        identifiers.emplace_back(name.get<std::string>());
    return identifiers;
}

nlohmann::json toJson(const entry_identity& self)
{
    return { { "role", nameOf(process_role::Entry) }, { "instance", self.instance.str() }, { "zone", self.zone.str() },
        { "life", self.life }, { "linkAddress", self.linkAddress }, { "maxRequests", self.maxRequests } };
}

nlohmann::json toJson(const agent_identity& self)
{
    const nlohmann::json endpoint = { { "endpoint", self.endpoint.endpoint.str() },
        { "kind", nameOf(self.endpoint.kind) }, { "services", toJsonArray(self.endpoint.services) },
        { "adapters", toJsonArray(self.endpoint.adapters) } };
    return { { "role", nameOf(process_role::Agent) }, { "instance", self.instance.str() }, { "zone", self.zone.str() },
        { "life", self.life }, { "endpoint", endpoint }, { "warmSlots", self.limits.warmSlots },
        { "coldSlots", self.limits.coldSlots }, { "warmAfter", self.limits.warmAfter },
        { "grantLifetime", self.limits.grantLifetime.count() } };
}

entry_identity entryFromJson(const nlohmann::json& json)
{
    entry_identity self;
    self.instance = instance_id(json.at("instance").get<std::string>());
    self.zone = availability_zone_id(json.at("zone").get<std::string>());
    json.at("life").get_to(self.life);
    json.at("linkAddress").get_to(self.linkAddress);
    json.at("maxRequests").get_to(self.maxRequests);
    return self;
}

endpoint_description endpointFromJson(const nlohmann::json& json)
{
    endpoint_description endpoint;
    endpoint.endpoint = endpoint_id(json.at("endpoint").get<std::string>());
    const auto kindText = json.at("kind").get<std::string>();
    const auto kind = fromName<endpoint_kind>(kindText);
    if (!kind)
        throw replay_error("unknown endpoint kind " + kindText);
    endpoint.kind = *kind;
    endpoint.services = identifiersFrom<service_id>(json.at("services"));
    endpoint.adapters = identifiersFrom<adapter_id>(json.at("adapters"));
    return endpoint;
}

agent_identity agentFromJson(const nlohmann::json& json)
{
    agent_identity self;
    self.instance = instance_id(json.at("instance").get<std::string>());
    self.zone = availability_zone_id(json.at("zone").get<std::string>());
    json.at("life").get_to(self.life);
    self.endpoint = endpointFromJson(json.at("endpoint"));
    json.at("warmSlots").get_to(self.limits.warmSlots);
    json.at("coldSlots").get_to(self.limits.coldSlots);
    json.at("warmAfter").get_to(self.limits.warmAfter);
    self.limits.grantLifetime = duration(json.at("grantLifetime").get<duration::rep>());
    return self;
}

} // namespace

std::string encodeTraceHeader(const process_identity& identity)
{
    nlohmann::json header = std::visit([](const auto& self) { return toJson(self); }, identity);
    header["appleramp_trace"] = formatVersion;
    return header.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

process_identity decodeTraceHeader(std::string_view line)
{
    try {
        const auto header = nlohmann::json::parse(line);
        if (header.at("appleramp_trace").get<int>() != formatVersion)
            throw replay_error("unsupported trace format; expected version " + std::to_string(formatVersion));
        if (header.at("role").get<std::string>() == nameOf(process_role::Entry))
            return entryFromJson(header);
        return agentFromJson(header);
    } catch (const nlohmann::json::exception& cause) {
        throw replay_error(std::string("invalid trace header: ") + cause.what());
    }
}

} // namespace appleramp
