#pragma once

#include "model/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace appleramp {

// Counts the breakdowns of endpoints under each request, and blocks requests under which endpoints break down repeatedly.
// Requests are identified by the hash of path, caller and body.
//
// Entries announce every breakdown to each other, so that all of them refuse a caller that sends such a request again.
class crash_suspects {
public:
    void recordBreakdown(instant now, std::uint64_t contentHash, const std::string& sendId);
    bool isBlocked(instant now, std::uint64_t contentHash) const;
    void removeExpired(instant now);

    // Breakdowns, of different sends, from which a content hash is blocked.
    static constexpr std::size_t blockThreshold = 2;
    // How long a content hash is kept after its last breakdown.
    static constexpr duration retention = std::chrono::seconds(60);

private:
    struct suspect {
        std::set<std::string> breakdownSendIds;
        instant lastBreakdownAt;
    };

    std::map<std::uint64_t, suspect> m_suspects;
};

} // namespace appleramp
