#include "decisions/pace/share_account.h"

#include <algorithm>

namespace appleramp {

std::size_t share_account::usedSince(instant from) const
{
    return static_cast<std::size_t>(m_uses.end() - std::upper_bound(m_uses.begin(), m_uses.end(), from));
}

bool share_account::allows(instant now, std::uint32_t share) const { return hasLoan(now) || usedSince(now - window) < share; }

std::optional<instant> share_account::opensAt(instant now, std::uint32_t share) const
{
    if (allows(now, share))
        return now;
    if (share == 0)
        return std::nullopt;
    return m_uses[m_uses.size() - share] + window;
}

void share_account::recordSend(instant now)
{
    removeExpired(now);
    if (hasLoan(now)) {
        m_borrowedUntil.reset();
        return;
    }
    m_uses.insert(std::upper_bound(m_uses.begin(), m_uses.end(), now), now);
}

bool share_account::lend(instant now, std::uint32_t share)
{
    if (usedSince(now - window) >= share)
        return false;
    removeExpired(now);
    m_uses.insert(std::upper_bound(m_uses.begin(), m_uses.end(), now + loanValidity), now + loanValidity);
    return true;
}

void share_account::removeExpired(instant now)
{
    while (!m_uses.empty() && m_uses.front() + window <= now)
        m_uses.pop_front();
}

} // namespace appleramp
