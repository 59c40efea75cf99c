#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace appleramp {

// Gives the requests of each turn of an endpoint to entries, by rendezvous hashing: the entries with the highest scores for
// the turn.
//
// Nobody has to agree on anything but the list of entries, and where two entries know different lists, they differ only in
// the turns of the entries that one of them lacks. So the sum of all shares stays close to the limit while entries come and go.
class turn_owners {
public:
    // Sets the names of all entries; `self` is counted whether it is listed or not. An empty list means that they are unknown.
    void setEntries(std::string_view self, std::span<const std::string> names);

    // Requests that this entry may send in the turn, out of so many of all entries. Zero while the entries are unknown.
    std::uint64_t ownRequests(std::string_view endpoint, std::uint64_t turn, std::uint64_t requestsPerTurn) const;
    // Another entry that may send in the turn; of several, one by the random fraction. Nothing if all requests are this entry's.
    std::optional<std::string> otherOwner(std::string_view endpoint, std::uint64_t turn, std::uint64_t requestsPerTurn, double randomFraction) const;
    std::size_t entryCount() const { return m_others.size() + (m_isKnown ? 1 : 0); }
    // Changes with the list of entries.
    std::uint64_t generation() const { return m_generation; }

private:
    bool m_isKnown = false;
    std::uint64_t m_self = 0;
    struct other_entry {
        std::string name;
        std::uint64_t hash = 0;
    };
    std::vector<other_entry> m_others;
    std::uint64_t m_generation = 0;
};

} // namespace appleramp
