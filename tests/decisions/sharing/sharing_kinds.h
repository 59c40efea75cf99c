#pragma once

#include "decisions/sharing/sharing_world.h"

#include <vector>

namespace appleramp::tests {

// The streams of the ledger platform at half of its size: the engines of the world can serve 180 requests a second, and seven tenths of
// that are asked for.
inline std::vector<caller_kind> ledgerKinds()
{
    using std::chrono::milliseconds;
    return { { .rank = 0, .perSecond = 45, .latencyTarget = milliseconds(500), .worth = 3, .worthLate = 0.3 },
        { .rank = 1, .perSecond = 60, .latencyTarget = milliseconds(500), .worth = 1.6, .worthLate = 0.41 },
        { .rank = 2, .perSecond = 20, .latencyTarget = milliseconds(1000), .worth = 0.8, .worthLate = 0.3 } };
}

// Rank 0 takes part only a little, and rank 1 asks for about twice the capacity, so that its teams must share.
inline std::vector<caller_kind> crowdedKinds(std::vector<double> teams, double perSecond = 300)
{
    using std::chrono::milliseconds;
    return { { .rank = 0, .perSecond = 10, .latencyTarget = milliseconds(500), .worth = 3 },
        { .rank = 1, .perSecond = perSecond, .latencyTarget = milliseconds(1000), .worth = 1, .teams = std::move(teams) } };
}

constexpr std::uint64_t worldSeeds = 5;

} // namespace appleramp::tests
