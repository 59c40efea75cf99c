#pragma once

#include "decisions/groups/group_map.h"

#include <cstddef>
#include <span>
#include <vector>

namespace appleramp {

struct planning_limits {
    std::size_t experts = 0;
    // Experts of one set that a rank can hold.
    std::size_t placesPerRank = 0;
    // Experts of one set that a rank may gain by one map.
    std::size_t maxNewPerRankAndSet = 0;
    // Experts of all sets that a rank may gain by one map. A rank copies them one after the other.
    std::size_t maxCopiesPerRank = 8;
    // Upper limit for the changes in all sets together; bounds the planning time.
    std::size_t maxChanges = 600;
    // Least reduction of the time of the slowest rank in a set that makes a change worthwhile, as a fraction of the mean load.
    double minGain = 0.01;
    // Time that each rank takes for its work, as a multiple of the usual time; empty if all ranks are as fast as usual.
    std::vector<double> slowdownFactors;
};

struct group_map_plan {
    group_map map;
    // Time of the slowest rank relative to the mean load, by the map in force and by the planned map; see imbalance().
    double imbalanceBefore = 1;
    double imbalanceAfter = 1;
    // Experts that must be copied, in all ranks and sets.
    std::size_t copies = 0;
    // Experts that the rank with the most copies must copy.
    std::size_t maxCopiesOfRank = 0;
};

// Plans the next map: greedily changes the map in force to take load off the busiest ranks.
//
// Each step takes the set whose slowest rank takes the longest. An expert of that rank is replicated on another rank with
// free places, moved there, put in place of a replica there, or exchanged for an expert there, whichever leaves the lowest
// maximum. A slow rank counts with the time that it takes, not only with its load. No rank gets more new experts than it can
// copy beside the old ones.
group_map_plan planGroupMap(const group_map& current, std::span<const double> loads, const planning_limits& limits);

} // namespace appleramp
