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

// A request whose attempt broke off at an endpoint.
struct broken_attempt {
    std::uint64_t content = 0;
    endpoint_id endpoint;
    // Names the attempt, so that entries count it once.
    std::string sendId;
    instant at;
};

// Requests during which endpoints broke down, by the hash of their path, caller and body.
//
// An attempt that breaks off makes nobody suspect until its endpoint is seen to be down as well. Entries tell each other
// of every breakdown, so that a caller who sends such a request again is refused at all of them.
class crash_suspects {
public:
    void noteBroken(broken_attempt attempt);
    // The endpoint refuses connections or has left the registry: returns the attempts that it broke down under.
    std::vector<broken_attempt> endpointDown(instant now, const endpoint_id& endpoint);

    void note(instant now, std::uint64_t content, const std::string& sendId);
    bool refuses(instant now, std::uint64_t content) const;
    void forgetOld(instant now);

    // Endpoints that break down under one content before it is refused.
    static constexpr std::size_t refusedFrom = 2;
    // Between a broken attempt and the news that its endpoint is down.
    static constexpr duration downWithin = std::chrono::seconds(3);
    // How long a content is remembered after its last breakdown.
    static constexpr duration memory = std::chrono::seconds(60);

private:
    struct suspect {
        std::set<std::string> sends;
        instant last;
    };

    std::vector<broken_attempt> m_broken;
    std::map<std::uint64_t, suspect> m_suspects;
};

} // namespace appleramp
