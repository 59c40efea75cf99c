#pragma once

#include "model/time.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <vector>

namespace appleramp {

// What an endpoint may have died of.
enum class suspect_kind {
    // A request, identified by the hash of path, caller and body.
    Request,
    // A part of prompts that requests share.
    PromptPart,
};

struct suspect_key {
    suspect_kind kind = suspect_kind::Request;
    std::uint64_t id = 0;

    auto operator<=>(const suspect_key&) const = default;
};

struct suspected_death {
    // Identifies the endpoint and its start.
    std::uint64_t endpoint = 0;
    // Time since the endpoint died.
    duration age {};
    // Time from the send of the request that it had begun to its death.
    duration ranFor {};
};

// What an entry knows of a suspect, as it tells other entries and writes it to the store. Times are given as ages, since clocks
// of different machines are never compared.
struct crash_record {
    suspect_key key;
    // Endpoints that died while they began to answer to it, since it was last seen to be sound.
    std::vector<suspected_death> deaths;
    // Time since an endpoint was last seen to answer to it without harm.
    std::optional<duration> soundAge;
    // Time since requests with it are refused.
    std::optional<duration> convictedAge;
    // Time since a single request was let through in spite of the conviction.
    std::optional<duration> trialAge;
    // Time since a request with it was last seen.
    duration seenAge {};
    // For a part: its largest position in a prompt, counted from zero.
    std::uint32_t position = 0;
};

} // namespace appleramp
