#include "decisions/membership/address_directory.h"

#include <xxhash.h>

#include <algorithm>
#include <set>

namespace appleramp {

namespace {

constexpr std::size_t shardSize = 4;

// Rendezvous hashing: an entry that comes or goes moves only its own teams.
std::uint64_t score(const team_id& team, const listed_instance& entry)
{
    const auto text = team.str() + "\n" + entry.instance.str();
    return XXH64(text.data(), text.size(), 0);
}

bool isInService(const listed_instance& entry, const fleet_configuration& configuration)
{
    return entry.state == instance_state::Live && !configuration.zonesOut.contains(entry.zone)
        && !configuration.instancesOut.contains(entry.instance);
}

// Moves the first entry of a second zone into the shard if the shard has but one.
void spreadOverZones(std::vector<listed_instance>& ordered)
{
    if (ordered.size() <= shardSize)
        return;
    const auto& first = ordered.front().zone;
    const auto other = std::find_if(ordered.begin(), ordered.end(),
        [&first](const auto& entry) { return entry.zone != first; });
    const auto last = ordered.begin() + (shardSize - 1);
    if (other != ordered.end() && other > last)
        std::rotate(last, other, other + 1);
}

} // namespace

void address_directory::listed(std::span<const listed_instance> instances)
{
    m_entries.clear();
    std::copy_if(instances.begin(), instances.end(), std::back_inserter(m_entries),
        [](const auto& listed) { return listed.role == process_role::Entry; });
}

std::vector<listed_instance> address_directory::shardOf(const team_id& team,
    const fleet_configuration& configuration) const
{
    std::vector<listed_instance> ordered;
    std::copy_if(m_entries.begin(), m_entries.end(), std::back_inserter(ordered),
        [&configuration](const auto& entry) { return isInService(entry, configuration); });
    std::sort(ordered.begin(), ordered.end(),
        [&team](const auto& left, const auto& right) { return score(team, left) > score(team, right); });
    spreadOverZones(ordered);
    if (ordered.size() > shardSize)
        ordered.resize(shardSize);
    return ordered;
}

} // namespace appleramp
