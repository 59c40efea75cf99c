#pragma once

#include <vector>

namespace appleramp::tests {

struct team_shares {
    // Least part that a team got of its max-min share in three seconds.
    double least = 1;
    // The same over all such spans together, of the team that got least.
    double leastMean = 1;
};

// Teams that send these parts of the requests of a rank whose demand is about twice what it can be served.
team_shares playTeams(const std::vector<double>& teams);

// One of them sends half of all requests.
inline std::vector<double> oneLargeTeam()
{
    std::vector<double> teams(8, 0.5 / 7);
    teams[0] = 0.5;
    return teams;
}

inline std::vector<double> teamsOfVeryDifferentSize()
{
    std::vector<double> teams;
    teams.reserve(24);
    for (int team = 0; team < 24; ++team)
        teams.push_back(1.0 / (team + 1));
    return teams;
}

} // namespace appleramp::tests
