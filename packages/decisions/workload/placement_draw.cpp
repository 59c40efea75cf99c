#include "decisions/workload/placement_draw.h"

#include <algorithm>
#include <numeric>
#include <vector>

namespace appleramp {

std::size_t drawPlacement(const placement_draw_query& query)
{
    std::vector<std::size_t> order(query.costs.size());
    std::iota(order.begin(), order.end(), std::size_t { 0 });
    std::stable_sort(order.begin(), order.end(), [&](std::size_t left, std::size_t right) { return query.costs[left] < query.costs[right]; });
    // Raises the cost of the cheapest options, one more at a time, until the requests are used up.
    const double total = query.unseenRequests * query.costPerRequest;
    double left = total;
    double level = query.costs[order.front()];
    std::size_t raised = 1;
    while (raised < order.size() && left > 0) {
        const double next = query.costs[order[raised]];
        const double needed = (next - level) * static_cast<double>(raised);
        if (needed >= left)
            break;
        left -= needed;
        level = next;
        ++raised;
    }
    level += left / static_cast<double>(raised);
    double drawn = query.randomFraction * total;
    for (std::size_t place = 0; place < raised; ++place) {
        drawn -= level - query.costs[order[place]];
        if (drawn < 0)
            return order[place];
    }
    return order.front();
}

} // namespace appleramp
