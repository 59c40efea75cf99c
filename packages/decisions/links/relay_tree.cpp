#include "decisions/links/relay_tree.h"

#include <algorithm>
#include <cmath>

namespace appleramp {

std::vector<relay_branch> relayBranches(std::span<const std::string> receivers, std::size_t largestBranch, std::size_t round)
{
    std::vector<relay_branch> branches;
    if (receivers.empty())
        return branches;
    std::vector<std::string> order(receivers.begin(), receivers.end());
    std::rotate(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(round % order.size()), order.end());
    const std::size_t largest = std::max<std::size_t>(largestBranch, 1);
    const std::size_t count = (order.size() + largest - 1) / largest;
    branches.reserve(count);
    for (std::size_t branch = 0; branch < count; ++branch) {
        const auto begin = order.begin() + static_cast<std::ptrdiff_t>(order.size() * branch / count);
        const auto end = order.begin() + static_cast<std::ptrdiff_t>(order.size() * (branch + 1) / count);
        branches.push_back({ *begin, { begin + 1, end } });
    }
    return branches;
}

// The sender's copies and then one relay's copies leave one after the other, so equal numbers of both are best.
std::size_t balancedBranchSize(std::size_t receivers)
{
    return std::max<std::size_t>(1, static_cast<std::size_t>(std::lround(std::sqrt(static_cast<double>(receivers)))));
}

} // namespace appleramp
