#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace appleramp {

using expert_number = std::uint16_t;

// Which experts each rank of a group holds, set by set. The ranks that hold an expert share its tokens evenly.
class group_map {
public:
    group_map() = default;
    group_map(std::size_t sets, std::size_t ranks);

    // The map that a group starts with: experts dealt out in turn.
    static group_map dealtInTurn(std::size_t sets, std::size_t experts, std::size_t ranks);

    bool empty() const { return m_places.empty(); }
    std::size_t sets() const { return m_sets; }
    std::size_t ranks() const { return m_ranks; }
    std::vector<expert_number>& at(std::size_t set, std::size_t rank) { return m_places[set * m_ranks + rank]; }
    const std::vector<expert_number>& at(std::size_t set, std::size_t rank) const { return m_places[set * m_ranks + rank]; }

    // Puts the experts of every list in order, so that equal contents are equal values.
    void normalize();
    // A number for what one rank holds; the same for equal contents, whatever the order.
    std::uint64_t rankDigest(std::size_t rank) const;

    friend bool operator==(const group_map&, const group_map&) = default;

private:
    std::size_t m_sets = 0;
    std::size_t m_ranks = 0;
    std::vector<std::vector<expert_number>> m_places;
};

// The number of a map that follows one with that number: a count above, and a digest of the contents below.
std::uint64_t numberAfter(std::uint64_t previous, const group_map& map);
// False if the number was made for other contents.
bool isNumberOf(std::uint64_t number, const group_map& map);

// The digest of one rank's experts by set, as group_map::rankDigest gives it.
std::uint64_t digestOfRank(std::span<const std::vector<expert_number>> experts);

// A map under which that rank holds these experts, and the other ranks the rest.
group_map placeholderMap(std::span<const std::vector<expert_number>> held, std::size_t rank, std::size_t experts, std::size_t ranks);

// The load of each rank of a set when each expert has that load.
std::vector<double> rankLoads(const group_map& map, std::size_t set, std::span<const double> expertLoads);

// Time of the slowest rank relative to the mean load, averaged over the sets weighted by their loads. One is perfect. A
// rank takes its load times its pace; without paces all take one.
double imbalance(const group_map& map, std::span<const double> loads, std::size_t experts, std::span<const double> paces = {});

} // namespace appleramp
