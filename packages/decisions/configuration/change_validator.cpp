#include "decisions/configuration/change_validator.h"

#include <algorithm>

namespace appleramp {

namespace {

constexpr std::size_t maxNameBytes = 256;
constexpr std::size_t maxReasonBytes = 1024;
constexpr std::uint32_t maxTeamLimit = 1000000;
constexpr std::uint32_t maxRetriesAllowed = 10;
constexpr std::uint32_t maxPercent = 100;
constexpr duration maxTimeout = std::chrono::hours(1);
constexpr duration minAddressValidity = std::chrono::seconds(1);
constexpr duration maxAddressValidity = std::chrono::hours(1);
// Twice the maximum timeout, so that no request with a key is still in flight when the key is forgotten.
constexpr duration minKeyRetention = std::chrono::hours(2);
constexpr duration maxKeyRetention = std::chrono::hours(24 * 30);

using validation_error = std::optional<std::string>;

bool isValidName(std::string_view text)
{
    const bool isPrintable = std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c <= '~'; });
    return !text.empty() && text.size() <= maxNameBytes && isPrintable;
}

validation_error checkName(std::string_view text, const std::string& label)
{
    if (isValidName(text))
        return std::nullopt;
    return label + " must have 1 to 256 visible ASCII characters";
}

bool isBlank(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](unsigned char c) { return c <= ' '; });
}

struct change_validator {
    validation_error operator()(const set_defaults& change) const
    {
        const auto& defaults = change.defaults;
        if (defaults.teamLimit > maxTeamLimit)
            return "teamLimit must be at most 1000000";
        if (defaults.maxRetries > maxRetriesAllowed)
            return "maxRetries must be at most 10";
        if (defaults.retryBudgetPercent > maxPercent)
            return "retryBudgetPercent must be at most 100";
        if (defaults.maxQueueWait < duration::zero() || defaults.maxQueueWait > maxTimeout)
            return "maxQueueWait must be from zero to one hour";
        if (defaults.requestTimeout <= duration::zero() || defaults.requestTimeout > maxTimeout)
            return "requestTimeout must be above zero and at most one hour";
        if (defaults.addressValidity < minAddressValidity || defaults.addressValidity > maxAddressValidity)
            return "addressValidity must be from one second to one hour";
        if (defaults.keyRetention < minKeyRetention || defaults.keyRetention > maxKeyRetention)
            return "keyRetention must be from two hours to thirty days";
        return std::nullopt;
    }
    validation_error operator()(const put_service& change) const
    {
        if (auto error = checkName(change.service.view(), "the service's name"))
            return error;
        if (change.policy.teamLimit > maxTeamLimit)
            return "teamLimit must be at most 1000000";
        const auto& routes = change.policy.repeatableRoutes;
        const bool areRoutes = std::all_of(routes.begin(), routes.end(), [](const auto& route) {
            return isValidName(route) && route.front() == '/' && route.find("..") == std::string::npos
                && route.find('%') == std::string::npos && route.find('?') == std::string::npos;
        });
        if (!areRoutes)
            return "each repeatable route must be a plain path that begins with '/'";
        return std::nullopt;
    }
    validation_error operator()(const add_exception& change) const
    {
        if (auto error = checkName(change.exception.team.view(), "the team's name"))
            return error;
        if (isBlank(change.exception.reason))
            return "an exception needs a written reason";
        if (change.exception.reason.size() > maxReasonBytes)
            return "the reason must have at most 1024 bytes";
        if (change.exception.teamLimit == 0 || change.exception.teamLimit > maxTeamLimit)
            return "an exception's teamLimit must be from 1 to 1000000";
        return std::nullopt;
    }
    validation_error operator()(const remove_service& change) const { return checkName(change.service.view(), "the service's name"); }
    validation_error operator()(const remove_exception& change) const { return checkName(change.team.view(), "the team's name"); }
    validation_error operator()(const take_zone_out& change) const { return checkName(change.zone.view(), "the zone's name"); }
    validation_error operator()(const take_zone_in& change) const { return checkName(change.zone.view(), "the zone's name"); }
    validation_error operator()(const take_instance_out& change) const { return checkName(change.instance.view(), "the instance's name"); }
    validation_error operator()(const take_instance_in& change) const { return checkName(change.instance.view(), "the instance's name"); }
};

} // namespace

std::optional<std::string> validateChange(const std::string& changeId, const configuration_change& change)
{
    if (auto error = checkName(changeId, "the change id"))
        return error;
    return std::visit(change_validator {}, change);
}

} // namespace appleramp
