#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace appleramp {

using expert_number = std::uint16_t;

// Which experts each rank of a group holds in each expert set. Ranks that hold the same expert share its tokens evenly.
class group_map {
public:
    group_map() = default;
    group_map(std::size_t sets, std::size_t ranks);

    // The map that a group starts with: the experts of each set are assigned to the ranks round-robin.
    static group_map roundRobin(std::size_t sets, std::size_t experts, std::size_t ranks);

    bool empty() const { return m_experts.empty(); }
    std::size_t sets() const { return m_sets; }
    std::size_t ranks() const { return m_ranks; }
    std::vector<expert_number>& at(std::size_t set, std::size_t rank) { return m_experts[set * m_ranks + rank]; }
    const std::vector<expert_number>& at(std::size_t set, std::size_t rank) const { return m_experts[set * m_ranks + rank]; }

    // Sorts the experts of each rank, so that maps with equal contents compare equal.
    void normalize();
    // Digest of the experts that one rank holds; independent of their order.
    std::uint64_t rankDigest(std::size_t rank) const;

    friend bool operator==(const group_map&, const group_map&) = default;

private:
    std::size_t m_sets = 0;
    std::size_t m_ranks = 0;
    std::vector<std::vector<expert_number>> m_experts;
};

// The version of `map` if the map before it has version `previous`: a counter in the high bits, a digest of the map in the low
// bits.
std::uint64_t nextMapVersion(std::uint64_t previous, const group_map& map);
// Whether the digest in the version is that of `map`.
bool mapVersionMatches(std::uint64_t version, const group_map& map);

// The digest of one rank's experts by set; equals group_map::rankDigest for the same contents.
std::uint64_t expertsDigest(std::span<const std::vector<expert_number>> experts);

// A map under which `rank` holds the experts `held`, by set, and the other ranks hold the rest.
group_map placeholderMap(std::span<const std::vector<expert_number>> held, std::size_t rank, std::size_t experts, std::size_t ranks);

// The load of each rank in a set, given the load of each expert.
std::vector<double> rankLoads(const group_map& map, std::size_t set, std::span<const double> expertLoads);

// Time of the slowest rank relative to the mean load, averaged over the sets weighted by their loads; 1 is perfect balance.
// The time of a rank is its load times its slowdown factor, which is 1 for ranks beyond the end of `slowdownFactors`.
double imbalance(const group_map& map, std::span<const double> loads, std::size_t experts, std::span<const double> slowdownFactors = {});

} // namespace appleramp
