#include "decisions/forwarding/crash_suspects.h"

#include <utility>

namespace appleramp {

void crash_suspects::noteBroken(broken_attempt attempt) { m_broken.push_back(std::move(attempt)); }

std::vector<broken_attempt> crash_suspects::endpointDown(instant now, const endpoint_id& endpoint)
{
    std::vector<broken_attempt> guilty;
    std::erase_if(m_broken, [&](const broken_attempt& attempt) {
        if (attempt.endpoint == endpoint && now - attempt.at < downWithin)
            guilty.push_back(attempt);
        return attempt.endpoint == endpoint;
    });
    for (const broken_attempt& attempt : guilty)
        note(now, attempt.content, attempt.sendId);
    return guilty;
}

void crash_suspects::note(instant now, std::uint64_t content, const std::string& sendId)
{
    suspect& entry = m_suspects[content];
    entry.last = now;
    entry.sends.insert(sendId);
}

bool crash_suspects::refuses(instant now, std::uint64_t content) const
{
    const auto found = m_suspects.find(content);
    return found != m_suspects.end() && now - found->second.last < memory && found->second.sends.size() >= refusedFrom;
}

void crash_suspects::forgetOld(instant now)
{
    std::erase_if(m_broken, [now](const broken_attempt& attempt) { return now - attempt.at >= downWithin; });
    std::erase_if(m_suspects, [now](const auto& entry) { return now - entry.second.last >= memory; });
}

} // namespace appleramp
