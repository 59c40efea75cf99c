#pragma once

#include "decisions/maps/expert_map.h"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace appleramp {

// Packs the experts of one layer onto the ranks so that no rank exceeds a limit on its time.
//
// Solved as a maximum flow from experts through places to ranks. Load that does not fit is the expert's deficit. It is
// moved along augmenting paths over ranks that share an expert. Where no path exists, a replica is added, or the limit
// is raised to what the saturated ranks need. map_planner reuses one object, and its memory, for all layers.
class layer_packing {
public:
    explicit layer_packing(const group_shape& shape);

    // Starts from the places of the current map, with a load for each expert and a limit on each rank's time.
    void start(std::span<const expert_place> current, std::span<const double> loads, double limit);
    // Assigns all load to ranks and raises the limit where necessary. Adds replicas only if moves are allowed. Returns
    // the final limit.
    double solve(bool allowMoves);
    // Writes the resulting places and shares.
    void write(std::span<expert_place> places) const;

private:
    using place_index = std::uint32_t;

    struct slot {
        expert_index expert = noExpert;
        double flow = 0;
    };
    // A possible new replica: its place, the net load that becomes assignable, and a value that breaks ties.
    struct addition {
        place_index place = 0;
        double gain = 0;
        double tieBreaker = 0;
    };
    // Move of another expert's replica to a place elsewhere, which frees its place for the expert with a deficit.
    struct eviction {
        place_index from = 0;
        place_index to = 0;
        double gain = 0;
    };

    // Two experts change ranks. The expert at `from`, on a rank with slack, moves to `to`, a free place on the rank of
    // `replicated`. The expert at `replicated` gets a new replica at `from` and spreads over both ranks.
    struct exchange_step {
        place_index from = 0;
        place_index to = 0;
        place_index replicated = 0;
    };

    rank_index rankOf(place_index place) const { return m_rankOfPlace[place]; }
    double slack(rank_index rank) const { return m_capacity[rank] - m_assignedLoad[rank]; }
    double negligibleFlow() const;

    void loadCurrentPlaces(std::span<const expert_place> current);
    void placeMissing();
    void trimOverload();
    void setLimit(double limit);
    void raiseLimit(bool movesLeft);
    void assignPlace(place_index place, expert_index expert);
    void clearPlace(place_index place);
    void addFlow(place_index place, double amount);

    std::optional<expert_index> largestDeficit() const;
    bool augment(expert_index from);
    void addFlowAlongPath(expert_index from, place_index last);
    double limitOfVisited() const;

    bool addReplica(expert_index expert);
    bool isRemovable(place_index place) const;
    bool rankHolds(rank_index rank, expert_index expert) const;
    bool zoneHolds(rank_index rank, expert_index expert) const;
    std::optional<addition> bestAddition(expert_index expert);
    std::optional<eviction> bestEviction(expert_index expert);
    std::vector<place_index> exchangeCandidates() const;
    std::optional<exchange_step> bestExchange() const;
    std::optional<exchange_step> findExchangeFrom(place_index from) const;
    std::optional<place_index> freePlaceOnSameRank(place_index place) const;
    void applyExchange(const exchange_step& step);
    std::optional<place_index> freePlaceWithMostSlack() const;
    bool isFree(place_index place) const;
    void placeReplica(place_index place, expert_index expert);
    void shiftLoadTo(place_index place);

    std::uint32_t m_placesPerRank = 0;
    bool m_severalZones = false;
    std::vector<std::uint16_t> m_rankPlaces;
    // For each place: its rank, and whether the rank may use it.
    std::vector<rank_index> m_rankOfPlace;
    std::vector<char> m_usable;
    // Index of the availability zone of each rank.
    std::vector<std::uint16_t> m_zone;
    std::vector<double> m_speed;

    double m_limit = 0;
    double m_meanLoad = 0;
    std::vector<double> m_load;
    std::vector<double> m_capacity;
    std::vector<double> m_assignedLoad;
    std::vector<double> m_deficit;
    std::vector<slot> m_slots;
    std::vector<std::vector<place_index>> m_replicas;

    // State of the breadth-first search. For each expert that was reached over a shared rank: its own place on that
    // rank, and the place of the preceding expert there.
    std::vector<expert_index> m_queue;
    std::vector<char> m_expertVisited;
    std::vector<char> m_rankVisited;
    std::vector<place_index> m_reachedFromPlace;
    std::vector<place_index> m_reachedByPlace;
};

} // namespace appleramp
