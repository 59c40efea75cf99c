#pragma once

#include "model/identifiers.h"
#include "model/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace appleramp {

// An attempt whose connection broke after the request was sent to the endpoint.
struct broken_attempt {
    std::uint64_t contentHash = 0;
    endpoint_id endpoint;
    // The caller's send, by which entries count a breakdown only once.
    std::string sendId;
    instant brokenAt;
};

// Tracks requests during which endpoints broke down, and blocks those that do so repeatedly. Requests are identified by
// the hash of path, caller and body.
//
// A broken attempt counts as a breakdown only when its endpoint is seen to be down as well. Entries announce every
// breakdown to each other, so that all of them refuse a caller that sends such a request again.
class crash_suspects {
public:
    void recordBrokenAttempt(broken_attempt attempt);
    // Called when the endpoint refuses connections or has left the registry: records its recently broken attempts as
    // breakdowns and returns them.
    std::vector<broken_attempt> confirmBreakdowns(instant now, const endpoint_id& endpoint);

    void recordBreakdown(instant now, std::uint64_t contentHash, const std::string& sendId);
    bool isBlocked(instant now, std::uint64_t contentHash) const;
    void removeExpired(instant now);

    // Breakdowns, of different sends, from which a content hash is blocked.
    static constexpr std::size_t blockThreshold = 2;
    // Longest time between a broken attempt and the detection that its endpoint is down.
    static constexpr duration confirmationWindow = std::chrono::seconds(3);
    // How long a content hash is kept after its last breakdown.
    static constexpr duration retention = std::chrono::seconds(60);

private:
    struct suspect {
        std::set<std::string> breakdownSendIds;
        instant lastBreakdownAt;
    };

    std::vector<broken_attempt> m_unconfirmed;
    std::map<std::uint64_t, suspect> m_suspects;
};

} // namespace appleramp
