#include "decisions/sharing/fair_shares.h"

#include <algorithm>
#include <limits>
#include <numeric>
#include <vector>

namespace appleramp {

double rank_shares::fraction(std::size_t rank, const rank_values& offered) const
{
    return offered[rank] <= 0 ? 1 : std::min(1.0, allocated[rank] / offered[rank]);
}

rank_shares shareAmongRanks(const rank_values& offered, const rank_values& room)
{
    const double total = std::accumulate(offered.begin(), offered.end(), 0.0);
    const double overall = total <= 0 ? 1 : std::clamp(room.back() / total, 0.0, 1.0);
    const double floor = minRankFraction * overall;
    // Floors of the less urgent ranks, which the more urgent ones leave free.
    double reserved = floor * total;
    rank_shares shares;
    double used = 0;
    for (std::size_t rank = 0; rank < sharedRanks; ++rank) {
        const double own = floor * offered[rank];
        reserved -= own;
        shares.allocated[rank] = std::clamp(room[rank] - used - reserved, own, std::max(own, offered[rank]));
        used += shares.allocated[rank];
    }
    shares.unused = std::max(0.0, room.back() - used);
    return shares;
}

double fairLevel(std::span<const double> demands, double capacity)
{
    std::vector<double> sorted(demands.begin(), demands.end());
    std::sort(sorted.begin(), sorted.end());
    double left = std::max(0.0, capacity);
    for (std::size_t index = 0; index < sorted.size(); ++index) {
        const double level = left / static_cast<double>(sorted.size() - index);
        if (sorted[index] > level)
            return level;
        left -= sorted[index];
    }
    return std::numeric_limits<double>::infinity();
}

} // namespace appleramp
