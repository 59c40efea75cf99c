#pragma once

#include <cstddef>
#include <optional>
#include <set>

namespace appleramp {

// Whether the store can be reached, from what the followers of several tables report.
//
// One answer is enough: a read that waits for changes may tell of the store's return only seconds later, and what lapses
// in that time has not lapsed in an outage.
class store_access {
public:
    explicit store_access(std::size_t followers)
        : m_followers(followers)
    {
    }

    // A follower lost the store or has it again. Returns what changed for all of them together, if anything.
    std::optional<bool> note(std::size_t follower, bool reachable);

private:
    std::size_t m_followers;
    std::set<std::size_t> m_away;
};

} // namespace appleramp
