#include "replay/outcome_statement.h"

#include "replay/replay_error.h"

#include <algorithm>

namespace appleramp {

namespace {

bool matchesObject(const nlohmann::json& effect, const nlohmann::json& pattern)
{
    const auto members = pattern.items();
    return std::all_of(members.begin(), members.end(), [&](const auto& member) {
        const auto found = effect.find(member.key());
        return found != effect.end() && matches(*found, member.value());
    });
}

outcome_statement fromJson(const nlohmann::json& json)
{
    if (json.contains("effects"))
        return exact_effects { json.at("event").get<std::uint64_t>(),
            json.at("effects").get<std::vector<nlohmann::json>>() };
    if (json.contains("has"))
        return event_has_effect { json.at("event").get<std::uint64_t>(), json.at("has") };
    if (json.contains("of"))
        return effect_count { json.at("count").get<std::uint64_t>(), json.at("of") };
    if (json.contains("never"))
        return effect_count { 0, json.at("never") };
    if (json.contains("sometime"))
        return effect_at_least_once { json.at("sometime") };
    throw replay_error("unknown kind of statement; write effects, has, count with of, never or sometime");
}

} // namespace

bool matches(const nlohmann::json& effect, const nlohmann::json& pattern)
{
    if (pattern.is_object())
        return effect.is_object() && matchesObject(effect, pattern);
    if (pattern.is_array()) {
        return effect.is_array()
            && std::equal(effect.begin(), effect.end(), pattern.begin(), pattern.end(), matches);
    }
    return effect == pattern;
}

outcome_statement parseStatement(std::string_view line)
{
    try {
        return fromJson(nlohmann::json::parse(line));
    } catch (const nlohmann::json::exception& cause) {
        throw replay_error(std::string("invalid statement: ") + cause.what());
    }
}

} // namespace appleramp
