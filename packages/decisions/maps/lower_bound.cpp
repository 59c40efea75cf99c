#include "decisions/maps/lower_bound.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace appleramp {

namespace {

constexpr auto bisectionSteps = 24;

struct group_totals {
    double speed = 0;
    double fastest = 0;
    std::uint32_t places = 0;
    std::uint32_t ranks = 0;
};

group_totals totalsOf(const group_shape& shape)
{
    group_totals totals;
    for (const auto& rank : shape.ranks) {
        if (rank.out || rank.places == 0)
            continue;
        totals.speed += rank.speed;
        totals.fastest = std::max(totals.fastest, rank.speed);
        totals.places += rank.places;
        ++totals.ranks;
    }
    return totals;
}

// True if the replicas that every expert needs to stay within this time fit into the group's places.
bool replicasFit(std::span<const double> loads, const group_totals& totals, double time)
{
    constexpr auto roundingTolerance = 1e-9;
    double replicas = 0;
    for (const auto load : loads) {
        const auto needed = std::max(1.0, std::ceil(load / (time * totals.fastest) - roundingTolerance));
        if (needed > totals.ranks)
            return false;
        replicas += needed;
    }
    return replicas <= totals.places;
}

} // namespace

double layerTimeBound(std::span<const double> loads, const group_shape& shape)
{
    const auto totals = totalsOf(shape);
    const auto work = std::accumulate(loads.begin(), loads.end(), 0.0);
    double low = work / totals.speed;
    if (work <= 0 || replicasFit(loads, totals, low))
        return low;
    double high = work / totals.fastest;
    for (int i = 0; i < bisectionSteps; ++i) {
        const auto middle = (low + high) / 2;
        if (replicasFit(loads, totals, middle))
            high = middle;
        else
            low = middle;
    }
    return low;
}

} // namespace appleramp
