#include "decisions/maps/map_planner.h"

#include "decisions/maps/groups.h"
#include "decisions/maps/maps_error.h"

#include <criterion/criterion.h>

#include <set>

using namespace appleramp;
using namespace appleramp::testing;

namespace {

struct planned_case {
    std::uint16_t ranks;
    std::uint16_t experts;
    std::uint16_t places;
};

constexpr planned_case cases[] = { { 4, 8, 3 }, { 16, 128, 9 }, { 64, 128, 3 }, { 128, 128, 2 }, { 7, 30, 6 } };

} // namespace

Test(map_planner, plans_from_nothing_come_close_to_the_lower_bound)
{
    constexpr auto seeds = 20;
    for (const auto& [ranks, experts, places] : cases) {
        double sum = 0;

        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            const auto shape = makeGroup(ranks, experts, places);
            const auto plan = map_planner(shape).plan({}, randomLoads(shape, seed), {});
            cr_assert(fits(plan.map, shape), "%u ranks, seed %lu", ranks, seed);
            for (const auto& layer : plan.layers) {
                const auto ratio = layer.time / layer.bound;
                cr_assert_geq(ratio, 1 - 1e-6);
                cr_assert_leq(ratio, 1.03, "%u ranks, seed %lu: %f", ranks, seed, ratio);
                sum += ratio / double(plan.layers.size());
            }
        }
        cr_assert_leq(sum / seeds, 1.015, "%u ranks: %f in the mean", ranks, sum / seeds);
    }
}

Test(map_planner, small_changes_move_few_experts)
{
    const auto shape = makeGroup(64, 128, 3, 4);
    const map_planner planner(shape);
    auto loads = randomLoads(shape, 7);
    const auto before = planner.plan({}, loads, {}).map;
    const auto noise = randomLoads(shape, 8, 0.05);
    for (std::size_t cell = 0; cell < loads.size(); ++cell)
        loads[cell] *= noise[cell];
    const auto after = planner.plan(before, loads, {});
    for (const auto& layer : after.layers) {
        cr_assert_leq(layer.time, layer.bound * 1.02);
        cr_assert_leq(layer.moves, 32);
    }
}

Test(map_planner, without_moves_only_shares_change)
{
    const auto shape = makeGroup(16, 32, 3);
    const map_planner planner(shape);
    const auto before = planner.plan({}, randomLoads(shape, 1), {}).map;
    const auto loads = randomLoads(shape, 2);
    const auto after = planner.plan(before, loads, { .tolerance = 0.01, .allowMoves = false });
    cr_assert(fits(after.map, shape));
    cr_assert_eq(movesBetween(before, after.map), 0);
    for (layer_index layer = 0; layer < shape.layers; ++layer) {
        const auto layerLoads = std::span(loads).subspan(std::size_t(layer) * shape.experts, shape.experts);
        cr_assert_leq(after.layers[layer].time, layerTime(before, layer, layerLoads, shape) * 1.0001);
    }
}

Test(map_planner, layers_that_were_not_asked_for_stay)
{
    const auto shape = makeGroup(16, 32, 3, 3);
    const map_planner planner(shape);
    const auto before = planner.plan({}, randomLoads(shape, 1), {}).map;
    const layer_index asked[] = { 1 };
    const auto after = planner.plan(before, randomLoads(shape, 2), {}, asked);
    cr_assert_eq(movesBetween(before, after.map, 0), 0);
    cr_assert_gt(movesBetween(before, after.map, 1), 0);
    cr_assert_eq(movesBetween(before, after.map, 2), 0);
}

Test(map_planner, a_slow_rank_gets_less_work)
{
    auto shape = makeGroup(8, 16, 4);
    shape.ranks[2].speed = 0.5;
    const auto loads = randomLoads(shape, 3);
    const auto plan = map_planner(shape).plan({}, loads, {});
    for (const auto& layer : plan.layers)
        cr_assert_leq(layer.time, layer.bound * 1.03);
}

Test(map_planner, a_zone_that_is_out_holds_no_experts)
{
    auto shape = makeGroup(8, 16, 6);
    const auto loads = randomLoads(shape, 3);
    const auto before = map_planner(shape).plan({}, loads, {}).map;
    for (auto& rank : shape.ranks)
        rank.out = rank.zone == availability_zone_id("zone-1");
    const auto plan = map_planner(shape).plan(before, loads, {});
    cr_assert(fits(plan.map, shape));
    for (const auto& layer : plan.layers)
        cr_assert_leq(layer.time, layer.bound * 1.03);
}

Test(map_planner, ranks_of_unequal_capacity_are_not_overfilled)
{
    auto shape = makeGroup(6, 12, 4);
    shape.ranks[0].places = 1;
    shape.ranks[1].places = 2;
    const auto plan = map_planner(shape).plan({}, randomLoads(shape, 5), {});
    cr_assert(fits(plan.map, shape));
}

Test(map_planner, too_few_places_are_an_error)
{
    const auto shape = makeGroup(2, 8, 3);
    cr_assert_throw(map_planner(shape).plan({}, randomLoads(shape, 5), {}), maps_error);
}

Test(map_planner, the_same_input_gives_the_same_map)
{
    const auto shape = makeGroup(64, 128, 3);
    const auto loads = randomLoads(shape, 11);
    cr_assert(map_planner(shape).plan({}, loads, {}).map == map_planner(shape).plan({}, loads, {}).map);
}

Test(map_planner, experts_without_load_keep_a_place)
{
    const auto shape = makeGroup(4, 8, 3);
    std::vector<double> loads(std::size_t(shape.layers) * shape.experts, 0.0);
    loads[0] = 1;
    loads[shape.experts] = 1;
    const auto plan = map_planner(shape).plan({}, loads, {});
    cr_assert(fits(plan.map, shape));
    cr_assert_gt(replicasOf(plan.map, 0, 0), 1);
}
