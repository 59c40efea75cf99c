#pragma once

#include "decisions/groups/group_map.h"

#include <cstddef>
#include <span>
#include <vector>

namespace appleramp {

struct planning_limits {
    std::size_t experts = 0;
    // Experts that a rank can hold of one set.
    std::size_t placesPerRank = 0;
    // Experts of one set that may be new to a rank.
    std::size_t newPerRank = 0;
    // Experts of all sets that may be new to a rank: they are copied one after the other.
    std::size_t copiesPerRank = 8;
    // Changes in all sets at most; bounds the time that planning takes.
    std::size_t maxChanges = 600;
    // Part of the mean load by which a change must relieve the busiest rank of its set.
    double leastGain = 0.01;
    // How many times longer than usual each rank takes for its work; empty if all are as usual.
    std::vector<double> paces;
};

struct group_map_plan {
    group_map map;
    // Of the most loaded rank relative to the mean, before and after.
    double before = 1;
    double after = 1;
    // Experts that ranks must copy, over all sets.
    std::size_t copies = 0;
    // Experts that the rank with most to copy must copy.
    std::size_t mostCopies = 0;
};

// Plans the next map: from the map in force, the few changes that take most load off the most loaded ranks.
//
// Set by set, the expert that weighs most on the busiest rank gets a further replica on a rank with room, or is
// exchanged; a replica that helps least makes room. A slow rank counts by the time that it takes. No rank gets more new experts than it can copy beside the old ones.
group_map_plan planGroupMap(const group_map& current, std::span<const double> loads, const planning_limits& limits);

} // namespace appleramp
