#include "decisions/groups/group_map.h"

#include <algorithm>
#include <numeric>

namespace appleramp {

namespace {

// Parameters of the 64-bit FNV-1a hash.
constexpr std::uint64_t fnvOffsetBasis = 0xcbf29ce484222325ULL;
constexpr std::uint64_t fnvPrime = 0x100000001b3ULL;
// Separates the sets in the digest, so that moving an expert from one set to the next changes it.
constexpr std::uint64_t setSeparator = 0xffff;
// Versions must be exact in a double, which has 53 bits: 29 bits remain for the counter.
constexpr unsigned digestBits = 24;
constexpr std::uint64_t digestMask = (1ULL << digestBits) - 1;

void mix(std::uint64_t& hash, std::uint64_t value)
{
    hash = (hash ^ value) * fnvPrime;
}

std::uint64_t shortDigest(const group_map& map)
{
    std::uint64_t hash = fnvOffsetBasis;
    for (std::size_t rank = 0; rank < map.ranks(); ++rank)
        mix(hash, map.rankDigest(rank));
    return hash & digestMask;
}

} // namespace

group_map::group_map(std::size_t sets, std::size_t ranks)
    : m_sets(sets)
    , m_ranks(ranks)
    , m_experts(sets * ranks)
{
}

group_map group_map::roundRobin(std::size_t sets, std::size_t experts, std::size_t ranks)
{
    group_map map(sets, ranks);
    for (std::size_t set = 0; set < sets; ++set) {
        for (std::size_t expert = 0; expert < experts; ++expert)
            map.at(set, expert % ranks).push_back(static_cast<expert_number>(expert));
    }
    return map;
}

void group_map::normalize()
{
    for (auto& held : m_experts)
        std::sort(held.begin(), held.end());
}

std::uint64_t expertsDigest(std::span<const std::vector<expert_number>> experts)
{
    std::uint64_t hash = fnvOffsetBasis;
    for (std::vector<expert_number> held : experts) {
        std::sort(held.begin(), held.end());
        for (const expert_number expert : held)
            mix(hash, expert);
        mix(hash, setSeparator);
    }
    return hash;
}

std::uint64_t group_map::rankDigest(std::size_t rank) const
{
    std::vector<std::vector<expert_number>> held;
    for (std::size_t set = 0; set < m_sets; ++set)
        held.push_back(at(set, rank));
    return expertsDigest(held);
}

std::uint64_t nextMapVersion(std::uint64_t previous, const group_map& map)
{
    const std::uint64_t count = (previous >> digestBits) + 1;
    return count << digestBits | shortDigest(map);
}

bool mapVersionMatches(std::uint64_t version, const group_map& map) { return (version & digestMask) == shortDigest(map); }

group_map placeholderMap(std::span<const std::vector<expert_number>> held, std::size_t rank, std::size_t experts, std::size_t ranks)
{
    group_map map(held.size(), ranks);
    for (std::size_t set = 0; set < held.size(); ++set) {
        map.at(set, rank) = held[set];
        std::size_t next = 0;
        for (std::size_t expert = 0; expert < experts && ranks > 1; ++expert) {
            const auto number = static_cast<expert_number>(expert);
            if (std::find(held[set].begin(), held[set].end(), number) != held[set].end())
                continue;
            next += next == rank ? 1 : 0;
            map.at(set, next % ranks).push_back(number);
            next = (next + 1) % ranks;
        }
    }
    map.normalize();
    return map;
}

std::vector<double> rankLoads(const group_map& map, std::size_t set, std::span<const double> expertLoads)
{
    std::vector<std::uint32_t> holders(expertLoads.size());
    for (std::size_t rank = 0; rank < map.ranks(); ++rank) {
        for (const expert_number expert : map.at(set, rank))
            ++holders[expert];
    }
    std::vector<double> loads(map.ranks());
    for (std::size_t rank = 0; rank < map.ranks(); ++rank) {
        for (const expert_number expert : map.at(set, rank))
            loads[rank] += expertLoads[expert] / holders[expert];
    }
    return loads;
}

double imbalance(const group_map& map, std::span<const double> loads, std::size_t experts, std::span<const double> slowdownFactors)
{
    double slowestSum = 0;
    double totalLoad = 0;
    for (std::size_t set = 0; set < map.sets(); ++set) {
        const auto part = loads.subspan(set * experts, experts);
        auto ranks = rankLoads(map, set, part);
        for (std::size_t rank = 0; rank < std::min(ranks.size(), slowdownFactors.size()); ++rank)
            ranks[rank] *= slowdownFactors[rank];
        slowestSum += *std::max_element(ranks.begin(), ranks.end());
        totalLoad += std::accumulate(part.begin(), part.end(), 0.0);
    }
    return totalLoad <= 0 ? 1 : slowestSum * static_cast<double>(map.ranks()) / totalLoad;
}

} // namespace appleramp
