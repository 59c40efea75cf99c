#include "decisions/retries/retry_budget.h"

#include <algorithm>

namespace appleramp {

namespace {

constexpr double maxRetriesSaved = 100;
constexpr duration idleTime = std::chrono::minutes(1);

} // namespace

void retry_budget::sent(const team_id& team, const service_id& service, std::uint32_t percent, instant now)
{
    for (auto* budget : { &m_teams[team], &m_services[service] }) {
        budget->retries = std::min(maxRetriesSaved, budget->retries + percent / 100.0);
        budget->used = now;
    }
}

bool retry_budget::take(const team_id& team, const service_id& service, instant now)
{
    auto& ofTeam = m_teams[team];
    auto& ofService = m_services[service];
    ofTeam.used = now;
    ofService.used = now;
    if (ofTeam.retries < 1 || ofService.retries < 1)
        return false;
    --ofTeam.retries;
    --ofService.retries;
    return true;
}

void retry_budget::forgetIdle(instant now)
{
    const auto isIdle = [now](const auto& item) { return item.second.used + idleTime < now; };
    std::erase_if(m_teams, isIdle);
    std::erase_if(m_services, isIdle);
}

} // namespace appleramp
