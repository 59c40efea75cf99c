#include "appleramp/configuration_document.h"

#include "appleramp/command_error.h"
#include "wire/configuration_codec.h"

#include <nlohmann/json.hpp>

namespace appleramp {

namespace {

constexpr std::uint32_t maxPercent = 100;

nlohmann::json toJson(const fleet_configuration& configuration)
{
    return nlohmann::json::parse(encodeConfiguration(configuration));
}

// The decoder ignores unknown members. They are rejected here, as otherwise a misspelt member would be dropped without an
// error.
void checkMembers(const nlohmann::json& given, const nlohmann::json& known, const std::string& path)
{
    if (given.is_array() && known.is_array() && given.size() == known.size()) {
        for (std::size_t i = 0; i < given.size(); ++i)
            checkMembers(given[i], known[i], path + '[' + std::to_string(i) + ']');
    }
    if (!given.is_object() || !known.is_object())
        return;
    for (const auto& [name, value] : given.items()) {
        const std::string member = path + name;
        if (!known.contains(name))
            throw command_error("unknown member " + member + "; remove it");
        checkMembers(value, known.at(name), member + '.');
    }
}

void requireValid(bool holds, const std::string& member, const std::string& range)
{
    if (!holds)
        throw command_error(member + " is out of range; write " + range);
}

void checkRanges(const fleet_configuration& configuration)
{
    const fleet_defaults& defaults = configuration.defaults;
    requireValid(defaults.teamLimit > 0, "defaults.teamLimit", "1 or more");
    requireValid(defaults.retryBudgetPercent <= maxPercent, "defaults.retryBudgetPercent", "0 to 100");
    requireValid(defaults.requestTimeout > duration::zero(), "defaults.requestTimeout", "more than 0 microseconds");
    requireValid(defaults.addressValidity > duration::zero(), "defaults.addressValidity", "more than 0 microseconds");
    requireValid(defaults.keyRetention > duration::zero(), "defaults.keyRetention", "more than 0 microseconds");
    for (const auto& [team, exception] : configuration.exceptions) {
        requireValid(exception.teamLimit > 0, "the teamLimit of the exception of " + team.str(), "1 or more");
        requireValid(!exception.reason.empty(), "the reason of the exception of " + team.str(), "why it is needed");
    }
}

void rejectDifference(bool differs, const std::string& what, const std::string& command)
{
    if (differs)
        throw command_error("the file changes " + what + "; use 'appleramp " + command + "' for that");
}

void addServiceChanges(
    std::vector<configuration_change>& changes, const fleet_configuration& from, const fleet_configuration& to)
{
    for (const auto& [service, policy] : to.services) {
        const auto known = from.services.find(service);
        const bool isSame = known != from.services.end() && known->second.teamLimit == policy.teamLimit
            && known->second.repeatableRoutes == policy.repeatableRoutes;
        if (!isSame)
            changes.emplace_back(put_service { service, policy });
    }
    for (const auto& [service, policy] : from.services) {
        if (!to.services.contains(service))
            changes.emplace_back(remove_service { service });
    }
}

} // namespace

fleet_configuration readDocument(std::string_view json, std::string_view sourceName)
{
    try {
        fleet_configuration configuration = decodeConfiguration(json);
        checkMembers(nlohmann::json::parse(json), toJson(configuration), "");
        checkRanges(configuration);
        return configuration;
    } catch (const error& problem) {
        throw command_error(std::string(sourceName) + ": " + problem.what());
    }
}

std::vector<configuration_change> changesBetween(const fleet_configuration& from, const fleet_configuration& to)
{
    const auto before = toJson(from);
    const auto after = toJson(to);
    const auto differs = [&](const char* member) { return before.at(member) != after.at(member); };
    rejectDifference(differs("exceptions"), "exceptions", "exception add|remove");
    rejectDifference(differs("zonesOut"), "the zones that are out", "zone out|in");
    rejectDifference(differs("instancesOut"), "the instances that are out", "instance out|in");
    std::vector<configuration_change> changes;
    if (differs("defaults"))
        changes.emplace_back(set_defaults { to.defaults });
    addServiceChanges(changes, from, to);
    return changes;
}

} // namespace appleramp
