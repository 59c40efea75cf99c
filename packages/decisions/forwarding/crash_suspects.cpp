#include "decisions/forwarding/crash_suspects.h"

#include <utility>

namespace appleramp {

void crash_suspects::recordBrokenAttempt(broken_attempt attempt) { m_unconfirmed.push_back(std::move(attempt)); }

std::vector<broken_attempt> crash_suspects::confirmBreakdowns(instant now, const endpoint_id& endpoint)
{
    std::vector<broken_attempt> breakdowns;
    std::erase_if(m_unconfirmed, [&](const broken_attempt& attempt) {
        if (attempt.endpoint == endpoint && now - attempt.brokenAt < confirmationWindow)
            breakdowns.push_back(attempt);
        return attempt.endpoint == endpoint;
    });
    for (const broken_attempt& attempt : breakdowns)
        recordBreakdown(now, attempt.contentHash, attempt.sendId);
    return breakdowns;
}

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
    std::erase_if(m_unconfirmed, [now](const broken_attempt& attempt) { return now - attempt.brokenAt >= confirmationWindow; });
    std::erase_if(m_suspects, [now](const auto& entry) { return now - entry.second.lastBreakdownAt >= retention; });
}

} // namespace appleramp
