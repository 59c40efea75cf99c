#include "decisions/maps/lower_bound.h"

#include "decisions/maps/groups.h"

#include <criterion/criterion.h>

#include <vector>

using namespace appleramp;
using namespace appleramp::testing;

Test(lower_bound, is_the_even_spread_where_replicas_fit)
{
    const auto shape = makeGroup(4, 4, 2);
    const std::vector<double> loads { 1, 1, 1, 5 };
    cr_assert_float_eq(layerTimeBound(loads, shape), 2.0, 1e-9);
}

Test(lower_bound, counts_a_slow_rank_as_smaller)
{
    auto shape = makeGroup(2, 2, 2);
    shape.ranks[1].speed = 0.5;
    const std::vector<double> loads { 1, 2 };
    cr_assert_float_eq(layerTimeBound(loads, shape), 2.0, 1e-9);
}

Test(lower_bound, knows_that_no_place_is_left_for_replicas)
{
    const auto shape = makeGroup(4, 4, 1);
    const std::vector<double> loads { 1, 1, 1, 5 };
    cr_assert_float_eq(layerTimeBound(loads, shape), 5.0, 1e-3);
}

Test(lower_bound, leaves_out_ranks_that_may_hold_nothing)
{
    auto shape = makeGroup(4, 2, 2);
    shape.ranks[0].out = true;
    shape.ranks[1].out = true;
    const std::vector<double> loads { 3, 1 };
    cr_assert_float_eq(layerTimeBound(loads, shape), 2.0, 1e-9);
}
