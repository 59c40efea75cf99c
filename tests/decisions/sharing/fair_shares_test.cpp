#include "decisions/sharing/fair_shares.h"

#include <criterion/criterion.h>

#include <array>
#include <cmath>

using namespace appleramp;

namespace {

rank_values everywhere(double value)
{
    rank_values values;
    values.fill(value);
    return values;
}

bool isAbout(double value, double expected) { return std::abs(value - expected) < 1e-9; }

} // namespace

// Guards against capacity that a less urgent rank takes from a more urgent one, but for its floor.
Test(fair_shares, are_strict_by_urgency_with_a_floor)
{
    const rank_values offered { 80, 60, 60 };
    const auto shares = shareAmongRanks(offered, everywhere(100));
    const double floor = 0.3 * 0.5;
    cr_expect(isAbout(shares.fraction(0, offered), 1));
    cr_expect(isAbout(shares.allocated[1], 100 - 80 - floor * 60));
    cr_expect(isAbout(shares.fraction(2, offered), floor));
    cr_expect(isAbout(shares.unused, 0));
}

// Guards against refusals where there is room for all.
Test(fair_shares, serve_everything_where_there_is_room)
{
    const rank_values offered { 10, 20, 30 };
    const auto shares = shareAmongRanks(offered, everywhere(100));
    for (std::size_t rank = 0; rank < sharedRanks; ++rank)
        cr_expect(isAbout(shares.fraction(rank, offered), 1));
    cr_expect(isAbout(shares.unused, 40));
}

// Guards against urgent requests that are refused because less urgent ones wait in the engines' queues.
Test(fair_shares, of_urgent_ranks_do_not_shrink_by_the_queue_of_others)
{
    const rank_values offered { 50, 0, 50 };
    rank_values room = everywhere(20);
    room[0] = room[1] = 100;
    cr_expect(isAbout(shareAmongRanks(offered, room).fraction(0, offered), 1));
}

// Guards against large demands that lower the level of small ones.
Test(fair_shares, of_teams_are_max_min)
{
    const std::array<double, 4> demands { 2, 50, 8, 40 };
    cr_expect(isAbout(fairLevel(demands, 30), 10));
    cr_expect(std::isinf(fairLevel(demands, 101)));
    cr_expect(isAbout(fairLevel(demands, 0), 0));
}
