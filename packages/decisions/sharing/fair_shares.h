#pragma once

#include "model/demand_report.h"

#include <array>
#include <span>

namespace appleramp {

// One value for each urgency rank.
using rank_values = std::array<double, sharedRanks>;

struct rank_shares {
    // Capacity that each rank gets.
    rank_values allocated {};
    // What is left of the capacity for the least urgent rank.
    double unused = 0;

    double fraction(std::size_t rank, const rank_values& offered) const;
};

// Divides capacity strictly by urgency, with a floor: each rank gets at least minRankFraction of the fraction of the whole demand that can be
// served. `room` is the capacity for each rank and the more urgent ones together.
rank_shares shareAmongRanks(const rank_values& offered, const rank_values& room);

// Max-min fairness: the level up to which each demand is served, so that the served parts add up to the capacity. Infinite if all
// can be served whole.
double fairLevel(std::span<const double> demands, double capacity);

// Part of the fraction served over all ranks that each rank gets at least.
constexpr double minRankFraction = 0.3;

} // namespace appleramp
