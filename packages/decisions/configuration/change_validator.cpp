#include "decisions/configuration/change_validator.h"

#include <algorithm>

namespace appleramp {

namespace {

constexpr std::size_t maxNameBytes = 256;
constexpr std::size_t maxReasonBytes = 1024;
constexpr std::uint32_t maxTeamLimit = 1000000;
constexpr std::uint32_t maxRetriesAllowed = 10;
constexpr std::uint32_t maxPercent = 100;
constexpr duration longestTimeout = std::chrono::hours(1);
constexpr duration shortestValidity = std::chrono::seconds(1);
constexpr duration longestValidity = std::chrono::hours(1);
// Twice the longest timeout: no send of a key is still on its way when the key is forgotten.
constexpr duration shortestRetention = std::chrono::hours(2);
constexpr duration longestRetention = std::chrono::hours(24 * 30);

using fault = std::optional<std::string>;

bool isName(std::string_view text)
{
    const bool isPrintable = std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c <= '~'; });
    return !text.empty() && text.size() <= maxNameBytes && isPrintable;
}

fault checkName(std::string_view text, const std::string& what)
{
    if (isName(text))
        return std::nullopt;
    return what + " must have 1 to 256 visible ASCII characters";
}

bool isBlank(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](unsigned char c) { return c <= ' '; });
}

struct fault_finder {
    fault operator()(const set_defaults& change) const
    {
        const auto& defaults = change.defaults;
        if (defaults.teamLimit > maxTeamLimit)
            return "teamLimit must be at most 1000000";
        if (defaults.maxRetries > maxRetriesAllowed)
            return "maxRetries must be at most 10";
        if (defaults.retryBudgetPercent > maxPercent)
            return "retryBudgetPercent must be at most 100";
        if (defaults.maxQueueWait < duration::zero() || defaults.maxQueueWait > longestTimeout)
            return "maxQueueWait must be from zero to one hour";
        if (defaults.requestTimeout <= duration::zero() || defaults.requestTimeout > longestTimeout)
            return "requestTimeout must be above zero and at most one hour";
        if (defaults.addressValidity < shortestValidity || defaults.addressValidity > longestValidity)
            return "addressValidity must be from one second to one hour";
        if (defaults.keyRetention < shortestRetention || defaults.keyRetention > longestRetention)
            return "keyRetention must be from two hours to thirty days";
        return std::nullopt;
    }
    fault operator()(const put_service& change) const
    {
        if (auto found = checkName(change.service.view(), "the service's name"))
            return found;
        if (change.policy.teamLimit > maxTeamLimit)
            return "teamLimit must be at most 1000000";
        const auto& routes = change.policy.repeatableRoutes;
        const bool areRoutes = std::all_of(routes.begin(), routes.end(), [](const auto& route) {
            return isName(route) && route.front() == '/' && route.find("..") == std::string::npos
                && route.find('%') == std::string::npos && route.find('?') == std::string::npos;
        });
        if (!areRoutes)
            return "each repeatable route must be a plain path that begins with '/'";
        return std::nullopt;
    }
    fault operator()(const add_exception& change) const
    {
        if (auto found = checkName(change.exception.team.view(), "the team's name"))
            return found;
        if (isBlank(change.exception.reason))
            return "an exception needs a written reason";
        if (change.exception.reason.size() > maxReasonBytes)
            return "the reason must have at most 1024 bytes";
        if (change.exception.teamLimit == 0 || change.exception.teamLimit > maxTeamLimit)
            return "an exception's teamLimit must be from 1 to 1000000";
        return std::nullopt;
    }
    fault operator()(const remove_service& change) const { return checkName(change.service.view(), "the service's name"); }
    fault operator()(const remove_exception& change) const { return checkName(change.team.view(), "the team's name"); }
    fault operator()(const take_zone_out& change) const { return checkName(change.zone.view(), "the zone's name"); }
    fault operator()(const take_zone_in& change) const { return checkName(change.zone.view(), "the zone's name"); }
    fault operator()(const take_instance_out& change) const { return checkName(change.instance.view(), "the instance's name"); }
    fault operator()(const take_instance_in& change) const { return checkName(change.instance.view(), "the instance's name"); }
};

} // namespace

std::optional<std::string> findFault(const std::string& changeId, const configuration_change& change)
{
    if (auto found = checkName(changeId, "the change id"))
        return found;
    return std::visit(fault_finder {}, change);
}

} // namespace appleramp
