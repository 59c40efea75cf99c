#include "decisions/retries/retry_budget.h"

#include <algorithm>

namespace appleramp {

namespace {

constexpr double maxSavedRetries = 100;
constexpr duration idleTimeout = std::chrono::minutes(1);

} // namespace

void retry_budget::recordFirstSend(const team_id& team, const service_id& service, std::uint32_t retryPercent, instant now)
{
    for (auto* budget : { &m_teams[team], &m_services[service] }) {
        budget->savedRetries = std::min(maxSavedRetries, budget->savedRetries + retryPercent / 100.0);
        budget->lastUsed = now;
    }
}

bool retry_budget::tryTake(const team_id& team, const service_id& service, instant now)
{
    auto& teamBudget = m_teams[team];
    auto& serviceBudget = m_services[service];
    teamBudget.lastUsed = now;
    serviceBudget.lastUsed = now;
    if (teamBudget.savedRetries < 1 || serviceBudget.savedRetries < 1)
        return false;
    --teamBudget.savedRetries;
    --serviceBudget.savedRetries;
    return true;
}

void retry_budget::removeIdle(instant now)
{
    const auto isIdle = [now](const auto& item) { return item.second.lastUsed + idleTimeout < now; };
    std::erase_if(m_teams, isIdle);
    std::erase_if(m_services, isIdle);
}

} // namespace appleramp
