#include "decisions/crashes/crash_suspects.h"

namespace appleramp {

void crash_suspects::recordBreakdown(instant now, std::uint64_t contentHash, const std::string& sendId)
{
    suspect& found = m_suspects[contentHash];
    found.lastBreakdownAt = now;
    found.breakdownSendIds.insert(sendId);
}

bool crash_suspects::isBlocked(instant now, std::uint64_t contentHash) const
{
    const auto found = m_suspects.find(contentHash);
    return found != m_suspects.end() && now - found->second.lastBreakdownAt < retention && found->second.breakdownSendIds.size() >= blockThreshold;
}

void crash_suspects::removeExpired(instant now)
{
    std::erase_if(m_suspects, [now](const auto& entry) { return now - entry.second.lastBreakdownAt >= retention; });
}

} // namespace appleramp
