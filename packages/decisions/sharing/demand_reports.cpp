#include "decisions/sharing/demand_reports.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace appleramp {

namespace {

constexpr double milli = 1000.0;

std::uint32_t rounded(double value) { return static_cast<std::uint32_t>(std::lround(std::clamp(value, 0.0, 4e9))); }

} // namespace

void demand_sum::add(const demand_report& report)
{
    entries += report.entries;
    for (const rank_load& load : report.ranks) {
        const std::size_t rank = std::min<std::size_t>(load.rank, sharedRanks - 1);
        offered[rank] += load.offeredMilliSlots / milli;
        inFlight[rank] += load.inFlight;
        waiting[rank] += load.waiting;
    }
    for (const team_load& load : report.teams) {
        team_demand& team = teams[{ load.rank, load.team }];
        team.slots += load.offeredMilliSlots / milli;
        team.entries += report.entries;
    }
}

demand_report demand_sum::toReport() const
{
    demand_report report;
    report.entries = rounded(entries);
    for (std::size_t rank = 0; rank < sharedRanks; ++rank) {
        const rank_load load { static_cast<std::uint8_t>(rank), rounded(offered[rank] * milli), rounded(inFlight[rank]), rounded(waiting[rank]) };
        if (load.offeredMilliSlots > 0 || load.inFlight > 0 || load.waiting > 0)
            report.ranks.push_back(load);
    }
    for (const auto& [key, team] : teams)
        report.teams.push_back({ key.first, key.second, rounded(team.slots * milli) });
    std::stable_sort(report.teams.begin(), report.teams.end(),
        [](const team_load& left, const team_load& right) { return left.offeredMilliSlots > right.offeredMilliSlots; });
    report.teams.resize(std::min(report.teams.size(), reportedTeams));
    return report;
}

bool demand_reports::record(instant now, const demand_report& report, const availability_zone_id& ownZone)
{
    if (report.isZoneSum == (report.zone == ownZone))
        return false;
    report_table& table = report.isZoneSum ? m_zones : m_entries;
    // An entry whose reports stopped may have started again on a clock that began anew.
    std::erase_if(table, [now](const auto& known) { return now - known.second.receivedAt >= maxAge; });
    const std::string& key = report.isZoneSum ? report.zone.str() : report.sender.str();
    const auto known = table.find(key);
    if (known == table.end() && table.size() >= (report.isZoneSum ? maxZones : maxEntries))
        return false;
    if (known != table.end() && known->second.report.sender == report.sender && report.sequence <= known->second.report.sequence)
        return false;
    table[key] = { report, now };
    return true;
}

void demand_reports::addFresh(instant now, const report_table& table, demand_sum& sum)
{
    for (const auto& [key, known] : table) {
        if (now - known.receivedAt < maxAge)
            sum.add(known.report);
    }
}

demand_sum demand_reports::zoneSum(instant now) const
{
    demand_sum sum;
    addFresh(now, m_entries, sum);
    return sum;
}

demand_sum demand_reports::sum(instant now) const
{
    demand_sum sum = zoneSum(now);
    addFresh(now, m_zones, sum);
    return sum;
}

} // namespace appleramp
