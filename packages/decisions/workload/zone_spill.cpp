#include "decisions/workload/zone_spill.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace appleramp {

namespace {

// Part of the requests that may leave, per unit of pressure above the limit.
constexpr double shareForPressure = 1.5;
// Part of a share that remains at the next change, at least.
constexpr double remainingShare = 0.6;
// Smaller shares end.
constexpr double leastShare = 0.06;
// Some requests stay to show when the zone has recovered.
constexpr double maxShare = 0.9;

// Difference of pressure that makes a zone worth the bytes that cross to it.
double advantage(double ownPressure, const zone_state& other)
{
    return std::max(0.0, ownPressure - other.pressure - zone_spill::hysteresis) * static_cast<double>(other.endpoints);
}

std::map<availability_zone_id, double> desiredShares(const availability_zone_id& own, const zone_states& zones, double limit)
{
    std::map<availability_zone_id, double> weights;
    const auto ownState = zones.find(own);
    const bool isUsable = ownState != zones.end() && ownState->second.endpoints > 0;
    const double ownPressure = isUsable ? ownState->second.pressure : 0;
    double sum = 0;
    double best = 0;
    for (const auto& [zone, state] : zones) {
        if (zone == own || state.endpoints == 0)
            continue;
        // Without endpoints of its own an entry sends by the number of endpoints.
        const double weight = isUsable ? advantage(ownPressure, state) : static_cast<double>(state.endpoints);
        best = std::max(best, ownPressure - state.pressure - zone_spill::hysteresis);
        weights[zone] = weight;
        sum += weight;
    }
    const double total = isUsable ? std::clamp(shareForPressure * std::min(ownPressure - limit, best), 0.0, maxShare) : 1.0;
    for (auto& [zone, weight] : weights)
        weight = sum > 0 ? total * weight / sum : 0;
    return weights;
}

double largestChange(const std::map<availability_zone_id, double>& before, const std::map<availability_zone_id, double>& after)
{
    double largest = 0;
    for (const auto& [zone, share] : after) {
        const auto known = before.find(zone);
        largest = std::max(largest, std::abs(share - (known == before.end() ? 0 : known->second)));
    }
    for (const auto& [zone, share] : before)
        largest = std::max(largest, after.contains(zone) ? 0.0 : share);
    return largest;
}

} // namespace

bool zone_spill::update(instant now, const availability_zone_id& own, const zone_states& zones)
{
    if (!isDue(now))
        return false;
    auto desired = desiredShares(own, zones, m_shares.empty() ? pressureLimit : pressureLimit - hysteresis);
    const auto ownState = zones.find(own);
    const bool isUsable = ownState != zones.end() && ownState->second.endpoints > 0;
    const bool isFalling = std::all_of(desired.begin(), desired.end(), [](const auto& share) { return share.second <= 0; });
    for (const auto& [zone, share] : m_shares) {
        // Shares fall slowly: the pressure falls because of them.
        if (isUsable && zones.contains(zone))
            desired[zone] = std::max(desired[zone], share * remainingShare);
    }
    std::erase_if(desired, [](const auto& share) { return share.second < leastShare; });
    const double sum = std::accumulate(desired.begin(), desired.end(), 0.0, [](double part, const auto& share) { return part + share.second; });
    for (auto& [zone, share] : desired)
        share *= isUsable && sum > maxShare ? maxShare / sum : 1;
    if (m_shares == desired || (!isFalling && largestChange(m_shares, desired) < hysteresis))
        return false;
    m_updatedAt = now;
    m_shares = std::move(desired);
    return true;
}

std::optional<availability_zone_id> zone_spill::otherZone(double randomFraction) const
{
    for (const auto& [zone, share] : m_shares) {
        if (randomFraction < share)
            return zone;
        randomFraction -= share;
    }
    return std::nullopt;
}

} // namespace appleramp
