#include "decisions/sharing/team_shares.h"

#include <criterion/criterion.h>

using namespace appleramp;
using namespace appleramp::tests;

// Guards against a team that takes the room of all others by sending half of all requests.
Test(room_teams, one_that_sends_half_of_all_requests_takes_no_share_of_others)
{
    const team_shares shares = playTeams(oneLargeTeam());
    cr_expect_geq(shares.leastMean, 0.9, "a team got %.3f of its share", shares.leastMean);
}

// Guards against shares that only hold for the largest teams, which reports name.
Test(room_teams, of_very_different_size_get_their_max_min_shares)
{
    const team_shares shares = playTeams(teamsOfVeryDifferentSize());
    cr_expect_geq(shares.leastMean, 0.9, "a team got %.3f of its share", shares.leastMean);
}
