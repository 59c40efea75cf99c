#pragma once

#include "decisions/sharing/fair_shares.h"
#include "model/demand_report.h"
#include "model/time.h"

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace appleramp {

// A rate per second in which events count less the older they are.
class decayed_rate {
public:
    explicit decayed_rate(duration timeConstant)
        : m_timeConstant(timeConstant)
    {
    }

    void record(instant now);
    double perSecond(instant now) const;

private:
    duration m_timeConstant;
    double m_rate = 0;
    instant m_updatedAt;
};

// Measures how many requests of each urgency rank and team arrive at this entry for one service.
class demand_meter {
public:
    using team_key = std::pair<std::uint8_t, std::uint32_t>;

    void record(instant now, std::uint8_t rank, std::uint32_t team);
    // Requests per second by rank, and by rank and team.
    rank_values rates(instant now) const;
    std::map<team_key, double> teamRates(instant now) const;

    // Teams that are measured; of more, the ones with the least demand are left out.
    static constexpr std::size_t maxTeams = 256;
    // Time constants of the decay. Bursts begin within a second, and one entry sees few requests of a rank in that time, and
    // fewer of a team.
    static constexpr duration rankTimeConstant = std::chrono::milliseconds(500);
    static constexpr duration teamTimeConstant = std::chrono::seconds(1);

private:
    void removeLeast(instant now);

    std::vector<decayed_rate> m_ranks { sharedRanks, decayed_rate(rankTimeConstant) };
    std::map<team_key, decayed_rate> m_teams;
};

} // namespace appleramp
