#include "maps/baseline_maps.h"

#include <algorithm>
#include <cassert>
#include <optional>
#include <vector>

namespace appleramp {

namespace {

std::vector<std::uint32_t> replicaCounts(const group_shape& shape, std::span<const double> loads, bool replicate)
{
    std::vector<std::uint32_t> counts(loads.size(), 1);
    if (!replicate)
        return counts;
    std::size_t places = 0;
    for (const auto& rank : shape.ranks)
        places += rank.places;
    for (auto used = loads.size(); used < places; ++used) {
        std::size_t hottest = 0;
        for (std::size_t expert = 1; expert < loads.size(); ++expert) {
            if (loads[expert] * counts[hottest] > loads[hottest] * counts[expert])
                hottest = expert;
        }
        ++counts[hottest];
    }
    return counts;
}

void packLayer(
    expert_map& map, layer_index layer, const group_shape& shape, std::span<const double> loads, bool replicate)
{
    const auto counts = replicaCounts(shape, loads, replicate);
    std::vector<expert_index> replicas;
    for (expert_index expert = 0; expert < shape.experts; ++expert)
        replicas.insert(replicas.end(), counts[expert], expert);
    const auto part = [&](expert_index expert) { return loads[expert] / counts[expert]; };
    std::ranges::stable_sort(replicas, [&](auto a, auto b) { return part(a) > part(b); });
    std::vector<double> work(shape.ranks.size(), 0);
    std::vector<std::uint16_t> used(shape.ranks.size(), 0);
    std::vector<std::uint32_t> given(loads.size(), 0);
    for (const auto expert : replicas) {
        std::optional<rank_index> best;
        for (rank_index rank = 0; rank < map.ranks(); ++rank) {
            if (used[rank] < shape.ranks[rank].places && !map.holds(layer, rank, expert)
                && (!best || work[rank] < work[*best]))
                best = rank;
        }
        if (!best)
            continue; // Every rank with a free place holds it already.
        map.rank(layer, *best)[used[*best]++].expert = expert;
        work[*best] += part(expert);
        ++given[expert];
    }
    std::vector<std::uint32_t> shared(loads.size(), 0);
    for (auto& place : map.layer(layer)) {
        if (place.expert == noExpert)
            continue;
        const auto number = ++shared[place.expert];
        const auto count = given[place.expert];
        place.share = std::uint16_t(wholeShare * number / count - wholeShare * (number - 1) / count);
    }
}

expert_map pack(const group_shape& shape, std::span<const double> loads, bool replicate)
{
    expert_map map(shape.layers, std::uint16_t(shape.ranks.size()), shape.maxPlaces());
    for (layer_index layer = 0; layer < shape.layers; ++layer) {
        const auto layerLoads = loads.subspan(std::size_t(layer) * shape.experts, shape.experts);
        packLayer(map, layer, shape, layerLoads, replicate);
    }
    assert(fits(map, shape));
    return map;
}

} // namespace

expert_map packedMap(const group_shape& shape, std::span<const double> loads)
{
    return pack(shape, loads, false);
}

expert_map packedMapWithReplicas(const group_shape& shape, std::span<const double> loads)
{
    return pack(shape, loads, true);
}

} // namespace appleramp
