#pragma once

#include "decisions/sharing/demand_meter.h"
#include "decisions/sharing/fair_shares.h"
#include "model/demand_report.h"
#include "model/time.h"

#include <cstddef>
#include <map>
#include <string>

namespace appleramp {

// Demand of one team, as far as entries named it.
struct team_demand {
    double slots = 0;
    // Entries that named it.
    double entries = 0;
};

// Demand of several entries for one service.
struct demand_sum {
    // Entries whose demand is known.
    double entries = 0;
    // In slots.
    rank_values offered {};
    rank_values inFlight {};
    rank_values waiting {};
    std::map<demand_meter::team_key, team_demand> teams;

    void add(const demand_report& report);
    // Largest teams first, as many as a report holds.
    demand_report toReport() const;
};

// Keeps the newest reports of the other entries on one service: those of the own zone, and sums of the other zones.
class demand_reports {
public:
    // Returns true if the report is newer than what is known of its sender or zone.
    bool record(instant now, const demand_report& report, const availability_zone_id& ownZone);
    // What the entries of the own zone, and all other entries, reported.
    demand_sum zoneSum(instant now) const;
    demand_sum sum(instant now) const;
    std::size_t size() const { return m_entries.size() + m_zones.size(); }

    // An older report is dropped: its entry may be gone, or cut off.
    static constexpr duration maxAge = std::chrono::seconds(1);
    // Entries of a zone and zones that are kept.
    static constexpr std::size_t maxEntries = 512;
    static constexpr std::size_t maxZones = 16;

private:
    struct known_report {
        demand_report report;
        instant receivedAt;
    };
    using report_table = std::map<std::string, known_report>;

    static void addFresh(instant now, const report_table& table, demand_sum& sum);

    report_table m_entries;
    report_table m_zones;
};

} // namespace appleramp
