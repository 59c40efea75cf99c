#include "decisions/maps/map_planner.h"

#include "decisions/maps/layer_packing.h"
#include "decisions/maps/lower_bound.h"
#include "decisions/maps/maps_error.h"

#include <cassert>
#include <numeric>
#include <utility>

namespace appleramp {

map_planner::map_planner(group_shape shape)
    : m_shape(std::move(shape))
{
    if (m_shape.ranks.empty() || m_shape.experts == 0 || m_shape.layers == 0)
        throw maps_error("a group needs ranks, experts and layers");
}

map_plan map_planner::plan(const expert_map& current, std::span<const double> loads, const plan_options& options) const
{
    std::vector<layer_index> layers(m_shape.layers);
    std::iota(layers.begin(), layers.end(), layer_index(0));
    return plan(current, loads, options, layers);
}

map_plan map_planner::plan(const expert_map& current, std::span<const double> loads, const plan_options& options,
    std::span<const layer_index> layers) const
{
    assert(loads.size() == std::size_t(m_shape.layers) * m_shape.experts);
    map_plan result { current, std::vector<layer_estimate>(m_shape.layers) };
    if (current.empty())
        result.map = expert_map(m_shape.layers, std::uint16_t(m_shape.ranks.size()), m_shape.maxPlaces());
    layer_packing packing(m_shape);
    for (const auto layer : layers) {
        const auto layerLoads = loads.subspan(std::size_t(layer) * m_shape.experts, m_shape.experts);
        auto& figures = result.layers[layer];
        figures.bound = layerTimeBound(layerLoads, m_shape);
        packing.start(std::as_const(result.map).layer(layer), layerLoads, figures.bound * (1 + options.tolerance));
        packing.solve(options.allowMoves);
        packing.write(result.map.layer(layer));
        figures.time = layerTime(result.map, layer, layerLoads, m_shape);
        figures.moves = movesBetween(current, result.map, layer);
    }
    return result;
}

expert_map evenMap(const group_shape& shape)
{
    const auto ranks = std::uint16_t(shape.ranks.size());
    expert_map map(shape.layers, ranks, shape.maxPlaces());
    for (layer_index layer = 0; layer < shape.layers; ++layer) {
        std::vector<std::uint16_t> used(ranks, 0);
        rank_index rank = 0;
        for (expert_index expert = 0; expert < shape.experts; ++expert) {
            rank_index tried = 0;
            while (shape.ranks[rank].out || used[rank] >= shape.ranks[rank].places) {
                rank = rank_index((rank + 1) % ranks);
                if (++tried > ranks)
                    throw maps_error("the group's ranks have fewer places than experts");
            }
            map.rank(layer, rank)[used[rank]++] = { expert, std::uint16_t(wholeShare) };
            rank = rank_index((rank + 1) % ranks);
        }
    }
    return map;
}

} // namespace appleramp
