#pragma once

#include "model/identifiers.h"

#include <cstddef>
#include <cstdint>
#include <limits>
#include <span>
#include <vector>

namespace appleramp {

using layer_index = std::uint16_t;
using rank_index = std::uint16_t;
using expert_index = std::uint16_t;

constexpr auto noExpert = std::numeric_limits<expert_index>::max();
// The share that stands for an expert's whole load.
constexpr std::uint32_t wholeShare = 65535;

// Properties of one rank that the planner needs.
struct rank_description {
    availability_zone_id zone;
    // Number of experts that the rank can hold in each layer.
    std::uint16_t places = 0;
    // Load processed per second, relative to a healthy rank.
    double speed = 1.0;
    // True if the rank must not hold experts, because its zone is out of service or the rank is about to leave.
    bool out = false;
};

// Dimensions of a group and its ranks, which an expert map has to match.
struct group_shape {
    std::uint16_t layers = 0;
    std::uint16_t experts = 0;
    std::uint64_t expertBytes = 0;
    std::vector<rank_description> ranks;

    std::uint16_t maxPlaces() const;
};

// A place for one expert on one rank in one layer: the expert that it holds and the share of that expert's load that it
// takes, out of wholeShare.
struct expert_place {
    expert_index expert = noExpert;
    std::uint16_t share = 0;

    friend bool operator==(const expert_place&, const expert_place&) = default;
};

// Maps experts to ranks in each layer, and holds how the load of a replicated expert is split among its replicas.
//
// A value type, stored contiguously with 4 bytes per place. map_planner plans maps; map_coordinator coordinates the
// ranks' switch to a new one.
class expert_map {
public:
    expert_map() = default;
    expert_map(std::uint16_t layers, std::uint16_t ranks, std::uint16_t placesPerRank);

    bool empty() const { return m_places.empty(); }
    std::uint16_t layers() const { return m_layers; }
    std::uint16_t ranks() const { return m_ranks; }
    std::uint16_t placesPerRank() const { return m_placesPerRank; }

    std::span<expert_place> layer(layer_index layer);
    std::span<const expert_place> layer(layer_index layer) const;
    std::span<expert_place> rank(layer_index layer, rank_index rank);
    std::span<const expert_place> rank(layer_index layer, rank_index rank) const;

    bool holds(layer_index layer, rank_index rank, expert_index expert) const;
    void copyLayer(const expert_map& from, layer_index layer);

    friend bool operator==(const expert_map&, const expert_map&) = default;

private:
    std::uint16_t m_layers = 0;
    std::uint16_t m_ranks = 0;
    std::uint16_t m_placesPerRank = 0;
    std::vector<expert_place> m_places;
};

// Number of experts that ranks have to load in a layer to change from one map to the other, over all ranks.
std::uint32_t movesBetween(const expert_map& from, const expert_map& to, layer_index layer);
// The same over all layers.
std::uint32_t movesBetween(const expert_map& from, const expert_map& to);

// Time of the slowest rank in a layer, as load divided by speed, for the given load of each expert.
double layerTime(const expert_map& map, layer_index layer, std::span<const double> loads, const group_shape& shape);

// True if the map matches the group's dimensions, the shares of every expert add up to wholeShare, and no rank holds
// more experts than it has places.
bool fits(const expert_map& map, const group_shape& shape);

} // namespace appleramp
