#include "decisions/sharing/demand_meter.h"

#include "model/seconds.h"

#include <algorithm>
#include <cmath>

namespace appleramp {

namespace {

// Teams with less than this are no longer measured.
constexpr double negligibleRate = 1e-3;

} // namespace

void decayed_rate::record(instant now)
{
    m_rate = perSecond(now) + 1 / seconds(m_timeConstant);
    m_updatedAt = now;
}

double decayed_rate::perSecond(instant now) const
{
    return m_rate <= 0 ? 0 : m_rate * std::exp(-seconds(std::max(now - m_updatedAt, duration::zero())) / seconds(m_timeConstant));
}

void demand_meter::record(instant now, std::uint8_t rank, std::uint32_t team)
{
    m_ranks.at(rank).record(now);
    if (m_teams.size() >= maxTeams && !m_teams.contains({ rank, team }))
        removeLeast(now);
    m_teams.try_emplace({ rank, team }, teamTimeConstant).first->second.record(now);
}

void demand_meter::removeLeast(instant now)
{
    std::erase_if(m_teams, [now](const auto& each) { return each.second.perSecond(now) < negligibleRate; });
    if (m_teams.size() < maxTeams)
        return;
    m_teams.erase(std::min_element(m_teams.begin(), m_teams.end(),
        [now](const auto& left, const auto& right) { return left.second.perSecond(now) < right.second.perSecond(now); }));
}

rank_values demand_meter::rates(instant now) const
{
    rank_values rates {};
    for (std::size_t rank = 0; rank < sharedRanks; ++rank)
        rates[rank] = m_ranks[rank].perSecond(now);
    return rates;
}

std::map<demand_meter::team_key, double> demand_meter::teamRates(instant now) const
{
    std::map<team_key, double> rates;
    for (const auto& [key, rate] : m_teams) {
        if (const double value = rate.perSecond(now); value >= negligibleRate)
            rates.emplace_hint(rates.end(), key, value);
    }
    return rates;
}

} // namespace appleramp
