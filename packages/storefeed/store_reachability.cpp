#include "storefeed/store_reachability.h"

namespace appleramp {

std::optional<bool> store_reachability::update(std::size_t follower, bool reachable)
{
    const bool wasAway = m_unreachableFollowers.size() == m_followerCount;
    if (reachable)
        m_unreachableFollowers.erase(follower);
    else
        m_unreachableFollowers.insert(follower);
    const bool isAway = m_unreachableFollowers.size() == m_followerCount;
    return wasAway == isAway ? std::nullopt : std::optional(!isAway);
}

} // namespace appleramp
