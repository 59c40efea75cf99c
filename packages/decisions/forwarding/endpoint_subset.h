#pragma once

#include "model/identifiers.h"

#include <cstddef>
#include <set>
#include <span>
#include <string>
#include <string_view>

namespace appleramp {

// An endpoint whose agent reports its load to the entries that subscribe.
struct reporting_endpoint {
    std::string address;
    availability_zone_id zone;
};

struct subset_settings {
    // Fleets with at most this many reporting endpoints are used as a whole.
    std::size_t wholeUpTo = 32;
    // Endpoints in the entry's own zone, and in all other zones together.
    std::size_t ownZone = 12;
    std::size_t otherZones = 8;
    // The subset grows until each endpoint is on average in the subsets of this many entries.
    double entriesPerEndpoint = 6;
};

// Addresses of the endpoints to which the entry subscribes and which it prefers: the closest ones in the ring of `entry_shares`, by
// hashes, so that the subsets together load the endpoints evenly and a change of members moves few of them.
std::set<std::string> chooseSubset(std::string_view entry, const availability_zone_id& zone, std::size_t entryCount,
    std::span<const reporting_endpoint> endpoints, const subset_settings& settings);

} // namespace appleramp
