#include "decisions/sharing/team_shares.h"

#include "decisions/sharing/sharing_kinds.h"
#include "decisions/sharing/sharing_world.h"

#include <algorithm>
#include <numeric>

namespace appleramp::tests {

using namespace std::chrono_literals;

team_shares playTeams(const std::vector<double>& teams)
{
    team_shares shares;
    std::vector<double> got(teams.size());
    std::vector<double> due(teams.size());
    for (std::uint64_t seed = 1; seed <= worldSeeds; ++seed) {
        sharing_world world({ .seed = seed, .kinds = crowdedKinds(teams) });
        world.runUntil(24s);
        for (int span = 0; span < 3; ++span) {
            const duration from = 9s + span * 3s;
            std::vector<double> offered;
            std::vector<double> served;
            for (std::size_t team = 0; team < teams.size(); ++team) {
                const caller_results results = world.results(from, from + 3s, 1, static_cast<int>(team));
                offered.push_back(static_cast<double>(results.callers));
                served.push_back(static_cast<double>(results.onTime + results.late));
            }
            const double level = fairLevel(offered, std::accumulate(served.begin(), served.end(), 0.0));
            for (std::size_t team = 0; team < teams.size(); ++team) {
                const double share = std::min(level, offered[team]);
                got[team] += served[team];
                due[team] += share;
                // Of fewer requests, one more or less is too large a part.
                if (offered[team] >= 10)
                    shares.least = std::min(shares.least, served[team] / share);
            }
        }
    }
    for (std::size_t team = 0; team < teams.size(); ++team)
        shares.leastMean = std::min(shares.leastMean, got[team] / due[team]);
    return shares;
}

} // namespace appleramp::tests
