#pragma once

#include "decisions/maps/expert_map.h"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace appleramp {

// Packs the experts of one layer onto the ranks so that no rank works longer than a limit.
//
// Load flows from experts through places to ranks. What does not fit becomes the expert's deficit, which flows along
// augmenting paths over ranks that share an expert; where there is none, a new replica is added, or the limit is raised
// to what the saturated set needs. Used by map_planner for one layer after the other; the memory is reused.
class layer_packing {
public:
    explicit layer_packing(const group_shape& shape);

    // Starts from a map's places, with these loads per expert and this limit on each rank's time.
    void start(std::span<const expert_place> today, std::span<const double> loads, double limit);
    // Lets all load flow; adds replicas only if that is allowed. Returns the limit that was reached.
    double solve(bool allowMoves);
    // Writes the places and shares that were found.
    void write(std::span<expert_place> places) const;

private:
    using place_index = std::uint32_t;

    struct slot {
        expert_index expert = noExpert;
        double flow = 0;
    };
    // A replica that may be added: where, and how much load it takes in all.
    struct addition {
        place_index place = 0;
        double gain = 0;
        double fit = 0;
    };
    // A sole replica that may go elsewhere to make room.
    struct eviction {
        place_index from = 0;
        place_index to = 0;
        double gain = 0;
    };

    // Two experts change ranks: one leaves a place on a rank with room for a free place beside the home of another,
    // which takes the place that was left and spreads over both ranks.
    struct exchange_step {
        place_index from = 0;
        place_index to = 0;
        place_index home = 0;
    };

    rank_index rankOf(place_index place) const { return m_rankOfPlace[place]; }
    double slack(rank_index rank) const { return m_capacity[rank] - m_used[rank]; }
    double smallest() const;

    void adoptPlaces(std::span<const expert_place> today);
    void placeMissing();
    void trimOverload();
    void setLimit(double limit);
    void raiseLimit(bool movesLeft);
    void link(place_index place, expert_index expert);
    void unlink(place_index place);
    void push(place_index place, double amount);

    std::optional<expert_index> largestDeficit() const;
    bool augment(expert_index from);
    void pushAlongPath(expert_index from, place_index last);
    double limitOfVisited() const;

    bool addReplica(expert_index expert);
    bool removable(place_index place) const;
    bool rankHolds(rank_index rank, expert_index expert) const;
    bool zoneHolds(rank_index rank, expert_index expert) const;
    std::optional<addition> bestAddition(expert_index expert);
    std::optional<eviction> bestEviction(expert_index expert);
    std::vector<place_index> roomyPlaces() const;
    std::optional<exchange_step> bestExchange() const;
    std::optional<exchange_step> exchangeWith(place_index from) const;
    std::optional<place_index> freePlaceBeside(place_index place) const;
    void exchange(const exchange_step& step);
    std::optional<place_index> roomiestFreePlace() const;
    bool isFree(place_index place) const;
    void occupy(place_index place, expert_index expert);
    void drainInto(place_index place);

    std::uint32_t m_stride = 0;
    bool m_severalZones = false;
    std::vector<std::uint16_t> m_rankPlaces;
    // Of each place: its rank, and whether the rank can use it.
    std::vector<rank_index> m_rankOfPlace;
    std::vector<char> m_usable;
    // A number for the zone of each rank.
    std::vector<std::uint16_t> m_zone;
    std::vector<double> m_speed;

    double m_limit = 0;
    double m_mean = 0;
    std::vector<double> m_load;
    std::vector<double> m_capacity;
    std::vector<double> m_used;
    std::vector<double> m_deficit;
    std::vector<slot> m_slots;
    std::vector<std::vector<place_index>> m_replicas;

    // Breadth-first search: the place through which each expert was reached, and the expert before it.
    std::vector<expert_index> m_queue;
    std::vector<char> m_expertSeen;
    std::vector<char> m_rankSeen;
    std::vector<place_index> m_reachedFrom;
    std::vector<place_index> m_reachedBy;
};

} // namespace appleramp
