#pragma once

#include "model/identifiers.h"
#include "model/time.h"

#include <cstdint>
#include <map>

namespace appleramp {

// Allows retries as a share of first sends, for each team and for each service, so that a zone that dies at full load
// is not followed by a storm. Only teams and services that were active a short while ago take memory.
class retry_budget {
public:
    void sent(const team_id& team, const service_id& service, std::uint32_t percent, instant now);
    // Takes one retry if both budgets have it.
    bool take(const team_id& team, const service_id& service, instant now);
    void forgetIdle(instant now);
    std::size_t size() const { return m_teams.size() + m_services.size(); }

private:
    struct account {
        double retries = initialRetries;
        instant used;
    };
    // What an account starts with, so that the first requests may be retried too.
    static constexpr double initialRetries = 3;

    std::map<team_id, account> m_teams;
    std::map<service_id, account> m_services;
};

} // namespace appleramp
