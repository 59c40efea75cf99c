#pragma once

#include "model/identifiers.h"
#include "model/time.h"

#include <cstdint>
#include <map>

namespace appleramp {

// Limits retries to a percentage of first sends, per team and per service, so that the failure of an availability zone
// under full load does not cause a retry storm. Accounts of idle teams and services are removed to bound memory use.
class retry_budget {
public:
    // Records the first send of a request, which adds retryPercent / 100 of a retry to both accounts.
    void recordFirstSend(const team_id& team, const service_id& service, std::uint32_t retryPercent, instant now);
    // Consumes one retry from both accounts and returns true, or returns false if either has less than one left.
    bool tryTake(const team_id& team, const service_id& service, instant now);
    // Removes accounts that were not used for the idle timeout.
    void removeIdle(instant now);
    std::size_t size() const { return m_teams.size() + m_services.size(); }

private:
    struct account {
        double savedRetries = initialRetries;
        instant lastUsed;
    };
    // Initial balance of an account. Without it the first requests of a team or service could not be retried.
    static constexpr double initialRetries = 3;

    std::map<team_id, account> m_teams;
    std::map<service_id, account> m_services;
};

} // namespace appleramp
