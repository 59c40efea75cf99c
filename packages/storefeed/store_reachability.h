#pragma once

#include <cstddef>
#include <optional>
#include <set>

namespace appleramp {

// Tracks whether the store is reachable, from the reports of the followers of several tables.
//
// It counts as reachable as soon as one follower gets an answer: a long poll of another may return only seconds later,
// and what expires in that time must not be treated as having expired during an outage.
class store_reachability {
public:
    explicit store_reachability(std::size_t followers)
        : m_followerCount(followers)
    {
    }

    // Records that a follower lost or regained the store. Returns the new overall reachability if it changed.
    std::optional<bool> update(std::size_t follower, bool reachable);

private:
    std::size_t m_followerCount;
    std::set<std::size_t> m_unreachableFollowers;
};

} // namespace appleramp
