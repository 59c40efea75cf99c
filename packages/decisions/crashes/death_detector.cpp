#include "decisions/crashes/death_detector.h"

#include <utility>

namespace appleramp {

bool death_detector::recordBrokenAttempt(broken_attempt attempt)
{
    if (hasDied(attempt.endpoint))
        return true;
    m_broken.push_back(std::move(attempt));
    if (m_broken.size() > maxBrokenAttempts)
        m_broken.pop_front();
    return false;
}

std::vector<broken_attempt> death_detector::recordDeath(instant now, const endpoint_id& endpoint)
{
    m_deaths.try_emplace(endpoint, now);
    return takeBrokenAttempts(now, endpoint);
}

std::vector<broken_attempt> death_detector::takeBrokenAttempts(instant now, const endpoint_id& endpoint)
{
    std::vector<broken_attempt> explained;
    std::erase_if(m_broken, [&](const broken_attempt& attempt) {
        if (attempt.endpoint == endpoint && now <= attempt.explainedUntil)
            explained.push_back(attempt);
        return attempt.endpoint == endpoint;
    });
    return explained;
}

bool death_detector::startProbe(instant now, const endpoint_id& endpoint)
{
    const auto [found, isNew] = m_probes.try_emplace(endpoint, now);
    if (!isNew && now - found->second < probeInterval)
        return false;
    found->second = now;
    return true;
}

void death_detector::removeExpired(instant now)
{
    std::erase_if(m_broken, [now](const broken_attempt& attempt) { return now > attempt.explainedUntil; });
    std::erase_if(m_deaths, [now](const auto& death) { return now - death.second >= deathRetention; });
    std::erase_if(m_probes, [now](const auto& probe) { return now - probe.second >= probeInterval; });
}

} // namespace appleramp
