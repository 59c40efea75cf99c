#include "storefeed/store_access.h"

namespace appleramp {

std::optional<bool> store_access::note(std::size_t follower, bool reachable)
{
    const bool wasAway = m_away.size() == m_followers;
    if (reachable)
        m_away.erase(follower);
    else
        m_away.insert(follower);
    const bool isAway = m_away.size() == m_followers;
    return wasAway == isAway ? std::nullopt : std::optional(!isAway);
}

} // namespace appleramp
