#include "decisions/maps/expert_map.h"

#include <algorithm>
#include <cassert>

namespace appleramp {

std::uint16_t group_shape::maxPlaces() const
{
    std::uint16_t most = 0;
    for (const auto& rank : ranks)
        most = std::max(most, rank.places);
    return most;
}

expert_map::expert_map(std::uint16_t layers, std::uint16_t ranks, std::uint16_t placesPerRank)
    : m_layers(layers)
    , m_ranks(ranks)
    , m_placesPerRank(placesPerRank)
    , m_places(std::size_t(layers) * ranks * placesPerRank)
{
}

std::span<expert_place> expert_map::layer(layer_index layer)
{
    const auto size = std::size_t(m_ranks) * m_placesPerRank;
    return std::span(m_places).subspan(layer * size, size);
}

std::span<const expert_place> expert_map::layer(layer_index layer) const
{
    const auto size = std::size_t(m_ranks) * m_placesPerRank;
    return std::span(m_places).subspan(layer * size, size);
}

std::span<expert_place> expert_map::rank(layer_index layer, rank_index rank)
{
    return this->layer(layer).subspan(std::size_t(rank) * m_placesPerRank, m_placesPerRank);
}

std::span<const expert_place> expert_map::rank(layer_index layer, rank_index rank) const
{
    return this->layer(layer).subspan(std::size_t(rank) * m_placesPerRank, m_placesPerRank);
}

bool expert_map::holds(layer_index layer, rank_index rank, expert_index expert) const
{
    return std::ranges::any_of(
        this->rank(layer, rank), [expert](const auto& place) { return place.expert == expert; });
}

void expert_map::copyLayer(const expert_map& from, layer_index layer)
{
    assert(m_ranks == from.m_ranks && m_placesPerRank == from.m_placesPerRank);
    std::ranges::copy(from.layer(layer), this->layer(layer).begin());
}

std::uint32_t movesBetween(const expert_map& from, const expert_map& to, layer_index layer)
{
    std::uint32_t moves = 0;
    for (rank_index rank = 0; rank < to.ranks(); ++rank) {
        for (const auto& place : to.rank(layer, rank)) {
            if (place.expert != noExpert && (from.empty() || !from.holds(layer, rank, place.expert)))
                ++moves;
        }
    }
    return moves;
}

std::uint32_t movesBetween(const expert_map& from, const expert_map& to)
{
    std::uint32_t moves = 0;
    for (layer_index layer = 0; layer < to.layers(); ++layer)
        moves += movesBetween(from, to, layer);
    return moves;
}

double layerTime(const expert_map& map, layer_index layer, std::span<const double> loads, const group_shape& shape)
{
    double slowest = 0;
    for (rank_index rank = 0; rank < map.ranks(); ++rank) {
        double work = 0;
        for (const auto& place : map.rank(layer, rank)) {
            if (place.expert != noExpert)
                work += loads[place.expert] * place.share;
        }
        slowest = std::max(slowest, work / (wholeShare * shape.ranks[rank].speed));
    }
    return slowest;
}

namespace {

bool ranksFit(const expert_map& map, const group_shape& shape, layer_index layer)
{
    for (rank_index rank = 0; rank < map.ranks(); ++rank) {
        const auto places = map.rank(layer, rank);
        const auto used = std::ranges::count_if(places, [](const auto& place) { return place.expert != noExpert; });
        const auto& description = shape.ranks[rank];
        if (used > (description.out ? 0 : description.places))
            return false;
    }
    return true;
}

bool sharesWhole(const expert_map& map, const group_shape& shape, layer_index layer)
{
    std::vector<std::uint32_t> shares(shape.experts, 0);
    for (const auto& place : map.layer(layer)) {
        if (place.expert != noExpert)
            shares[place.expert] += place.share;
    }
    return std::ranges::all_of(shares, [](auto share) { return share == wholeShare; });
}

} // namespace

bool fits(const expert_map& map, const group_shape& shape)
{
    if (map.layers() != shape.layers || map.ranks() != shape.ranks.size())
        return false;
    for (layer_index layer = 0; layer < map.layers(); ++layer) {
        if (!ranksFit(map, shape, layer) || !sharesWhole(map, shape, layer))
            return false;
    }
    return true;
}

} // namespace appleramp
