#pragma once

#include "decisions/maps/expert_map.h"

#include <cmath>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace appleramp::testing {

inline group_shape makeGroup(std::uint16_t ranks, std::uint16_t experts, std::uint16_t places, std::uint16_t layers = 2)
{
    group_shape shape;
    shape.layers = layers;
    shape.experts = experts;
    shape.expertBytes = 1'000'000;
    for (std::uint16_t rank = 0; rank < ranks; ++rank)
        shape.ranks.push_back({ availability_zone_id("zone-" + std::to_string(rank % 2)), places });
    return shape;
}

inline std::vector<double> randomLoads(const group_shape& shape, std::uint64_t seed, double spread = 0.8)
{
    std::mt19937_64 random(seed);
    std::normal_distribution<double> normal(0, spread);
    std::vector<double> loads;
    for (std::size_t cell = 0; cell < std::size_t(shape.layers) * shape.experts; ++cell)
        loads.push_back(std::exp(normal(random)));
    return loads;
}

inline std::uint32_t replicasOf(const expert_map& map, layer_index layer, expert_index expert)
{
    std::uint32_t replicas = 0;
    for (const auto& place : map.layer(layer))
        replicas += place.expert == expert ? 1 : 0;
    return replicas;
}

} // namespace appleramp::testing
