#include "decisions/forwarding/endpoint_subset.h"

#include "decisions/pace/entry_shares.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace appleramp {

namespace {

using scored_addresses = std::vector<std::pair<std::uint64_t, const std::string*>>;

// Entries have shares of the endpoints that are close to them in the ring, and prefer these.
std::uint64_t closeness(std::string_view entry, std::string_view address)
{
    return static_cast<std::uint64_t>((1 - entry_shares::ringDistance(entry, address)) * 0x1p53);
}

void insertHighest(scored_addresses& candidates, std::size_t count, std::set<std::string>& subset)
{
    const std::size_t taken = std::min(count, candidates.size());
    std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(taken), candidates.end(), std::greater<>());
    for (std::size_t index = 0; index < taken; ++index)
        subset.insert(*candidates[index].second);
}

} // namespace

std::set<std::string> chooseSubset(std::string_view entry, const availability_zone_id& zone, std::size_t entryCount,
    std::span<const reporting_endpoint> endpoints, const subset_settings& settings)
{
    const bool takesAll = endpoints.size() <= settings.wholeUpTo;
    std::set<std::string> subset;
    std::map<availability_zone_id, scored_addresses> byZone;
    for (const reporting_endpoint& endpoint : endpoints) {
        if (takesAll)
            subset.insert(endpoint.address);
        else
            byZone[endpoint.zone].emplace_back(closeness(entry, endpoint.address), &endpoint.address);
    }
    if (takesAll)
        return subset;
    const auto needed = static_cast<std::size_t>(
        std::ceil(settings.entriesPerEndpoint * static_cast<double>(endpoints.size()) / static_cast<double>(std::max<std::size_t>(entryCount, 1))));
    const std::size_t size = std::max(needed, settings.ownZone + settings.otherZones);
    const std::size_t own = byZone.contains(zone) ? size * settings.ownZone / (settings.ownZone + settings.otherZones) : 0;
    const std::size_t others = byZone.size() - (own > 0 ? 1 : 0);
    for (auto& [candidateZone, candidates] : byZone) {
        const bool isOwn = own > 0 && candidateZone == zone;
        insertHighest(candidates, isOwn ? own : (size - own + others - 1) / std::max<std::size_t>(others, 1), subset);
    }
    return subset;
}

} // namespace appleramp
