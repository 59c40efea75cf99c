#include "decisions/membership/address_directory.h"

#include "decisions/membership/rendezvous.h"

#include <algorithm>

namespace appleramp {

namespace {

constexpr std::size_t shardSize = 4;
constexpr std::ptrdiff_t pollersPerZone = 2;
constexpr std::string_view pollingKey = "configuration polling";

bool scoresHigher(std::string_view key, const listed_instance& left, const listed_instance& right)
{
    return rendezvousScore(key, left.instance.view()) > rendezvousScore(key, right.instance.view());
}

bool isInService(const listed_instance& entry, const fleet_configuration& configuration)
{
    return entry.state == instance_state::Live && !configuration.zonesOut.contains(entry.zone)
        && !configuration.instancesOut.contains(entry.instance);
}

// If all entries of the shard are in one zone, replaces its last by the best entry of another zone.
void ensureSecondZone(std::vector<listed_instance>& ordered)
{
    if (ordered.size() <= shardSize)
        return;
    const auto& first = ordered.front().zone;
    const auto otherZone = std::find_if(ordered.begin(), ordered.end(),
        [&first](const auto& entry) { return entry.zone != first; });
    const auto last = ordered.begin() + (shardSize - 1);
    if (otherZone != ordered.end() && otherZone > last)
        std::rotate(last, otherZone, otherZone + 1);
}

} // namespace

void address_directory::setInstances(std::span<const listed_instance> instances)
{
    m_entries.clear();
    std::copy_if(instances.begin(), instances.end(), std::back_inserter(m_entries),
        [](const auto& listed) { return listed.role == process_role::Entry; });
}

bool address_directory::isPoller(const instance_id& instance) const
{
    const auto self = std::find_if(m_entries.begin(), m_entries.end(),
        [&instance](const auto& entry) { return entry.instance == instance; });
    if (self == m_entries.end())
        return true;
    const auto higherScoring = std::count_if(m_entries.begin(), m_entries.end(), [&self](const auto& entry) {
        return entry.zone == self->zone && entry.state == instance_state::Live
            && scoresHigher(pollingKey, entry, *self);
    });
    return higherScoring < pollersPerZone;
}

std::vector<listed_instance> address_directory::shardOf(const team_id& team,
    const fleet_configuration& configuration) const
{
    std::vector<listed_instance> ordered;
    std::copy_if(m_entries.begin(), m_entries.end(), std::back_inserter(ordered),
        [&configuration](const auto& entry) { return isInService(entry, configuration); });
    std::sort(ordered.begin(), ordered.end(),
        [&team](const auto& left, const auto& right) { return scoresHigher(team.view(), left, right); });
    ensureSecondZone(ordered);
    if (ordered.size() > shardSize)
        ordered.resize(shardSize);
    return ordered;
}

} // namespace appleramp
