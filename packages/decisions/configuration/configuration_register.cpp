#include "decisions/configuration/configuration_register.h"

#include <algorithm>
#include <cassert>
#include <cstddef>

namespace appleramp {

namespace {

constexpr std::size_t maxRecentChanges = 1024;

struct change_applier {
    fleet_configuration& target;

    void operator()(const set_defaults& change) const { target.defaults = change.defaults; }
    void operator()(const put_service& change) const { target.services[change.service] = change.policy; }
    void operator()(const remove_service& change) const { target.services.erase(change.service); }
    void operator()(const add_exception& change) const
    {
        target.exceptions[change.exception.team] = change.exception;
    }
    void operator()(const remove_exception& change) const { target.exceptions.erase(change.team); }
    void operator()(const take_zone_out& change) const { target.zonesOut.insert(change.zone); }
    void operator()(const take_zone_in& change) const { target.zonesOut.erase(change.zone); }
    void operator()(const take_instance_out& change) const { target.instancesOut.insert(change.instance); }
    void operator()(const take_instance_in& change) const { target.instancesOut.erase(change.instance); }
};

} // namespace

void applyChange(fleet_configuration& configuration, const accepted_change& change)
{
    assert(change.version == configuration.version + 1);
    std::visit(change_applier { configuration }, change.change);
    configuration.version = change.version;
}

bool configuration_register::adopt(std::span<const accepted_change> changes)
{
    const auto before = version();
    for (const auto& change : changes) {
        if (change.version == version() + 1)
            applyNext(change);
    }
    return version() > before;
}

bool configuration_register::adopt(const fleet_configuration& document)
{
    if (document.version <= version())
        return false;
    m_current = document;
    m_recentChanges.clear();
    return true;
}

std::vector<accepted_change> configuration_register::changesSince(configuration_version version) const
{
    if (m_recentChanges.empty() || version + 1 < m_recentChanges.front().version)
        return {};
    std::vector<accepted_change> changes;
    for (const auto& change : m_recentChanges) {
        if (change.version > version)
            changes.push_back(change);
    }
    return changes;
}

std::optional<configuration_version> configuration_register::findChange(std::string_view changeId) const
{
    const auto found = std::find_if(m_recentChanges.begin(), m_recentChanges.end(),
        [changeId](const auto& change) { return change.changeId == changeId; });
    return found == m_recentChanges.end() ? std::nullopt : std::optional(found->version);
}

void configuration_register::applyNext(const accepted_change& change)
{
    applyChange(m_current, change);
    m_recentChanges.push_back(change);
    if (m_recentChanges.size() > maxRecentChanges)
        m_recentChanges.pop_front();
}

} // namespace appleramp
