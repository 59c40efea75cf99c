#include "decisions/sharing/room_burst.h"
#include "decisions/sharing/sharing_kinds.h"
#include "decisions/sharing/team_shares.h"

#include <criterion/criterion.h>

using namespace appleramp;
using namespace appleramp::tests;
using namespace std::chrono_literals;

// Targets of docs/design/hard-load.md that are not reached yet.

// Guards against urgent requests that are refused or late because less urgent ones come in a burst and fill the engines' queues.
Test(room_targets, burst_of_rank_2_leaves_rank_0_on_time)
{
    const auto got = playBurst({ .kinds = ledgerKinds() }, 6s, [](sharing_world& world, bool begins) { world.setRate(2, begins ? 100 : 20); });
    cr_expect_geq(got.onTime[0], 0.95, "rank 0 on time %.3f", got.onTime[0]);
}

// Guards against the loss that was seen where bursts of two ranks coincide: the urgent ones earned 0.63 of their worth, while no
// draft was refused.
Test(room_targets, burst_of_ranks_0_and_2_leaves_rank_0_its_worth)
{
    const auto got = playBurst({ .kinds = ledgerKinds() }, 6s, [](sharing_world& world, bool begins) {
        world.setRate(2, begins ? 100 : 20);
        world.setRate(0, begins ? 112 : 45);
    });
    cr_expect_geq(got.worth[0], 0.95, "rank 0 earned %.3f", got.worth[0]);
}

// Guards against callers that gain by retrying at once where each retry goes to another entry, which does not know of the refusal.
Test(room_targets, retries_at_other_entries_gain_nothing)
{
    const auto [impatient, patient] = worthOfRetries(false);
    cr_expect_leq(impatient, patient, "impatient callers earn %.3f, others %.3f", impatient, patient);
}

// Guards against teams that get too little for a while: as in room_teams, but in each span of three seconds, in which a team of 24 sends a few dozen requests.
Test(room_targets, team_that_sends_half_of_all_requests_takes_no_share_of_others)
{
    const team_shares shares = playTeams(oneLargeTeam());
    cr_expect_geq(shares.least, 0.9, "a team got %.3f of its share", shares.least);
}

Test(room_targets, teams_of_very_different_size_get_their_max_min_shares)
{
    const team_shares shares = playTeams(teamsOfVeryDifferentSize());
    cr_expect_geq(shares.least, 0.9, "a team got %.3f of its share", shares.least);
}
