#pragma once

#include "decisions/sharing/demand_reports.h"
#include "decisions/sharing/fair_shares.h"
#include "model/time.h"

#include <cstdint>
#include <map>

namespace appleramp {

// Slots of a service's endpoints and what they hold, as far as load reports and own requests tell.
struct service_load {
    double slots = 0;
    // Requests that run and wait at the endpoints.
    double requests = 0;
    // False if no endpoint reports its load: `requests` counts nothing.
    bool isReported = false;
    // Part of the slots that may be used.
    double utilizationLimit = 1;
    // Time for which a request occupies a slot; zero while it is not known.
    duration slotTime {};
};

// Capacity of a service and the demand of all entries for it, and what follows for the requests of each urgency rank and team.
//
// Entries that know the same reports compute the same shares.
class service_room {
public:
    // `others` is the demand of the entries that reported; the demand of those that did not is taken to be like that of this entry.
    void update(const service_load& load, const demand_sum& own, const demand_sum& others, std::size_t entryCount);

    // Requests that run and wait relative to the slots that may be used.
    double utilization() const { return m_utilization; }
    // Where this is false, every request is admitted at once.
    bool isNearLimit() const { return m_isKnown && m_utilization >= nearLimit; }
    // Slots that the rank's requests of all entries would occupy.
    double offered(std::uint8_t rank) const { return m_offered.at(rank); }
    // Fraction of the requests of the rank, and of a team's requests in it, that can be served.
    double fraction(std::uint8_t rank) const { return m_fractions.at(rank); }
    double fraction(std::uint8_t rank, std::uint32_t team) const;
    // Requests per second beside those that the fractions allow, for all entries.
    double spareRate() const { return m_spareRate; }
    bool hasOtherReports() const { return m_hasOthers; }

    // Part of the slots that is filled. Endpoints fill unevenly, and beyond this part requests wait at some while others have free slots.
    static constexpr double targetUtilization = 0.8;
    // Below this utilization nothing is refused or delayed.
    static constexpr double nearLimit = 0.8;
    // Entries that miss the reports of more than half of the others reduce the capacity that they assume.
    static constexpr double capacityWithoutReports = 0.9;
    // Deviations of the load from the capacity are corrected within this time, about the age of load reports.
    static constexpr duration correctionTime = std::chrono::milliseconds(400);

private:
    void updateTeams(const demand_sum& demand);

    bool m_isKnown = false;
    bool m_hasOthers = false;
    double m_utilization = 0;
    double m_spareRate = 0;
    rank_shares m_shares;
    rank_values m_offered {};
    rank_values m_fractions = { 1, 1, 1, 1, 1, 1, 1, 1 };
    std::array<double, sharedRanks> m_teamLevels {};
    std::map<demand_meter::team_key, double> m_teams;
};

} // namespace appleramp
