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
// Shares of an expert's load are counted in parts of this whole.
constexpr std::uint32_t wholeShare = 65535;

// What the planner must know of one rank.
struct rank_description {
    availability_zone_id zone;
    // Experts that the rank can hold in each layer.
    std::uint16_t places = 0;
    // Work per second relative to a sound rank.
    double speed = 1.0;
    // True if the rank may hold no experts: its zone is out or it is about to leave.
    bool out = false;
};

// The fixed form of a group: what an expert map has to fit.
struct group_shape {
    std::uint16_t layers = 0;
    std::uint16_t experts = 0;
    std::uint64_t expertBytes = 0;
    std::vector<rank_description> ranks;

    std::uint16_t maxPlaces() const;
};

// One place of a rank in one layer: the expert it holds and its part of that expert's load.
struct expert_place {
    expert_index expert = noExpert;
    std::uint16_t share = 0;

    friend bool operator==(const expert_place&, const expert_place&) = default;
};

// Says which rank holds which expert in each layer and how the load of a replicated expert is shared.
//
// A value in one block of memory, 4 bytes a place. Planned by map_planner and carried to the ranks by map_coordinator.
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

// Experts that some rank must load in a layer to go from one map to the other.
std::uint32_t movesBetween(const expert_map& from, const expert_map& to, layer_index layer);
// The same over all layers.
std::uint32_t movesBetween(const expert_map& from, const expert_map& to);

// The time of the slowest rank of a layer, in load over speed, under these loads per expert.
double layerTime(const expert_map& map, layer_index layer, std::span<const double> loads, const group_shape& shape);

// True if every expert has a replica with its whole load shared out and no rank holds more than it can.
bool fits(const expert_map& map, const group_shape& shape);

} // namespace appleramp
