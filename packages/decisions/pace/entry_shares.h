#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace appleramp {

// Divides whole requests per second among the entries, so that the shares add up to the number exactly.
//
// The entries form a ring, in the order of the hashes of their names, so that neighbours are in no common zone. Beside what all of
// them get, the remainder goes to consecutive entries, around another place of the ring for each endpoint. A fraction of a
// request is no share: entries that each send one request in some seconds may all send in the same second, as their clocks are
// not compared.
class entry_shares {
public:
    // Sets the names of all entries; `self` is counted whether it is listed or not. An empty list means that they are unknown.
    void setEntries(std::string_view self, std::span<const std::string> names);
    // The place of this entry among all while their names are unknown, as a fraction in [0, 1).
    void setPosition(double position) { m_position = position; }

    // Where the remainder for an endpoint goes: a fraction of the ring, from its address.
    static double ringStart(std::string_view address) { return ringPosition(address); }
    // How far the entry is from there, about: 0 to 0.5 of the ring.
    static double ringDistance(std::string_view entry, std::string_view address);
    // The place for one of few endpoints, spread evenly, so that each entry has shares of some of them.
    static double ringStart(std::size_t index, std::size_t endpoints) { return static_cast<double>(index) / static_cast<double>(endpoints); }

    // Requests of this entry, out of so many of all entries.
    std::uint32_t share(std::uint32_t requests, std::size_t entryCount, double ringStart) const;
    // Another entry that has a share; of several, one by the random fraction. Nothing if there is none or the names are unknown.
    std::optional<std::string> otherOwner(std::uint32_t requests, std::size_t entryCount, double ringStart, double randomFraction) const;

private:
    static double ringPosition(std::string_view name);
    std::size_t ringSize(std::size_t entryCount) const;

    // In the order of the ring.
    std::vector<std::string> m_names;
    std::size_t m_rank = 0;
    double m_position = 0;
};

} // namespace appleramp
