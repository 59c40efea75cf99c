#include "decisions/sharing/service_room.h"

#include "model/seconds.h"

#include <algorithm>
#include <limits>
#include <numeric>
#include <vector>

namespace appleramp {

namespace {

// The demand of all entries, if those that did not report are like the others.
demand_sum scaledSum(const demand_sum& own, const demand_sum& others, std::size_t entryCount)
{
    demand_sum sum = own;
    sum.entries += others.entries;
    const double factor = std::max(1.0, static_cast<double>(entryCount) / std::max(1.0, sum.entries));
    for (std::size_t rank = 0; rank < sharedRanks; ++rank) {
        sum.offered[rank] = (own.offered[rank] + others.offered[rank]) * factor;
        sum.inFlight[rank] = (own.inFlight[rank] + others.inFlight[rank]) * factor;
        sum.waiting[rank] = (own.waiting[rank] + others.waiting[rank]) * factor;
    }
    for (const auto& [key, team] : others.teams) {
        team_demand& known = sum.teams[key];
        known = { known.slots + team.slots, known.entries + team.entries };
    }
    for (auto& [key, team] : sum.teams)
        team.slots *= factor;
    return sum;
}

// Engines take the most urgent requests first, so those that wait are the least urgent ones of all in flight.
rank_values waitingUpTo(const rank_values& inFlight, double requests, double waiting)
{
    const double total = std::accumulate(inFlight.begin(), inFlight.end(), 0.0);
    rank_values result {};
    double left = waiting;
    for (std::size_t rank = sharedRanks; rank-- > 0;) {
        result[rank] = std::max(0.0, left);
        left -= total > 0 ? requests * inFlight[rank] / total : 0;
    }
    return result;
}

} // namespace

void service_room::update(const service_load& load, const demand_sum& own, const demand_sum& others, std::size_t entryCount)
{
    const demand_sum demand = scaledSum(own, others, entryCount);
    m_hasOthers = others.entries > 0;
    m_isKnown = load.slots > 0;
    if (!m_isKnown)
        return;
    const bool isAlone = 2 * (own.entries + others.entries) < static_cast<double>(entryCount);
    const double capacity = load.slots * std::min(load.utilizationLimit, targetUtilization);
    // Load reports are some hundred milliseconds old; what entries have in flight is newer, but unknown of those that do not report it.
    const double inFlight = std::accumulate(demand.inFlight.begin(), demand.inFlight.end(), 0.0);
    const double requests = !load.isReported || m_hasOthers ? std::max(load.requests, inFlight) : load.requests;
    m_utilization = requests / capacity;
    // Without an answer so far, there is no demand in slots to compare with the capacity.
    m_isKnown = load.slotTime > duration::zero();
    if (!m_isKnown)
        return;
    const double correction = seconds(load.slotTime) / seconds(correctionTime);
    const rank_values waiting = waitingUpTo(demand.inFlight, requests, std::max(0.0, requests - capacity));
    rank_values room {};
    for (std::size_t rank = 0; rank < sharedRanks; ++rank) {
        const double free = std::max(0.0, capacity - requests) - waiting[rank];
        room[rank] = std::max(0.0, (isAlone ? capacityWithoutReports : 1) * capacity + free * correction);
    }
    m_offered = demand.offered;
    m_shares = shareAmongRanks(m_offered, room);
    for (std::size_t rank = 0; rank < sharedRanks; ++rank)
        m_fractions[rank] = m_shares.fraction(rank, m_offered);
    m_spareRate = m_shares.unused / seconds(load.slotTime);
    updateTeams(demand);
}

// Reports name few teams. What the other teams of an entry offer is taken to be of those that other entries named, by how many
// did not.
void service_room::updateTeams(const demand_sum& demand)
{
    m_teams.clear();
    rank_values named {};
    rank_values weights {};
    const auto weightOf = [&demand](const team_demand& team) { return std::max(0.0, demand.entries - team.entries) * team.slots / std::max(1.0, team.entries); };
    for (const auto& [key, team] : demand.teams) {
        named.at(key.first) += team.slots;
        weights.at(key.first) += weightOf(team);
    }
    std::array<std::vector<double>, sharedRanks> demands;
    for (const auto& [key, team] : demand.teams) {
        const double unnamed = std::max(0.0, m_offered.at(key.first) - named.at(key.first));
        const double share = weights.at(key.first) > 0 ? weightOf(team) / weights.at(key.first) : 0;
        demands.at(key.first).push_back(m_teams[key] = team.slots + unnamed * share);
    }
    for (std::size_t rank = 0; rank < sharedRanks; ++rank)
        m_teamLevels[rank] = m_fractions[rank] >= 1 ? std::numeric_limits<double>::infinity() : fairLevel(demands[rank], m_shares.allocated[rank]);
}

double service_room::fraction(std::uint8_t rank, std::uint32_t team) const
{
    const double whole = m_fractions.at(rank);
    if (whole >= 1)
        return 1;
    const auto known = m_teams.find({ rank, team });
    if (known == m_teams.end() || known->second <= 0)
        return whole;
    return std::min(1.0, m_teamLevels[rank] / known->second);
}

} // namespace appleramp
