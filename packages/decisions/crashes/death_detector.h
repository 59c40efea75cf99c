#pragma once

#include "model/crash_news.h"
#include "model/identifiers.h"
#include "model/time.h"

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace appleramp {

// An attempt whose end may be due to the death of its endpoint.
struct broken_attempt {
    // What the endpoint may have died of.
    std::vector<suspect_key> suspects;
    endpoint_id endpoint;
    // The caller's send.
    std::string sendId;
    instant sentAt;
    instant brokenAt;
    // Until when the death of the endpoint still explains this end.
    instant explainedUntil;
};

// Matches attempts that broke with deaths of their endpoints, in whichever order the two become known.
//
// A broken connection alone is no death: links are cut, and endpoints reset connections.
class death_detector {
public:
    // Returns true if the endpoint is known to have died, so that the attempt need not be kept.
    bool recordBrokenAttempt(broken_attempt attempt);
    // Records the death and returns the attempts that it explains.
    std::vector<broken_attempt> recordDeath(instant now, const endpoint_id& endpoint);
    // Returns the attempts that a death explains, without recording one: the endpoint is gone, possibly as planned.
    std::vector<broken_attempt> takeBrokenAttempts(instant now, const endpoint_id& endpoint);
    // True if the endpoint should be probed now: one of its attempts broke, and it was not probed just before.
    bool startProbe(instant now, const endpoint_id& endpoint);
    bool hasDied(const endpoint_id& endpoint) const { return m_deaths.contains(endpoint); }
    // The endpoint was started again under its name.
    void forget(const endpoint_id& endpoint) { m_deaths.erase(endpoint); }
    void removeExpired(instant now);

    // How long a death is remembered, for attempts whose end is seen later.
    static constexpr duration deathRetention = std::chrono::seconds(10);
    // Attempts that are kept at most; the oldest are forgotten.
    static constexpr std::size_t maxBrokenAttempts = 4096;
    // Shortest time between two probes of one endpoint.
    static constexpr duration probeInterval = std::chrono::seconds(1);

private:
    std::deque<broken_attempt> m_broken;
    std::map<endpoint_id, instant> m_deaths;
    std::map<endpoint_id, instant> m_probes;
};

} // namespace appleramp
