#pragma once

#include "decisions/groups/group_map.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace appleramp {

using group_epoch = std::uint64_t;
// Grows with each map, and holds a digest of the map, so that equal numbers mean equal contents.
using map_number = std::uint64_t;
using pass_number = std::uint64_t;

// Names one switch of a group: at that pass, in that epoch of the group, to that map.
struct switch_name {
    group_epoch epoch = 0;
    map_number version = 0;
    pass_number pass = 0;

    friend bool operator==(const switch_name&, const switch_name&) = default;
};

// The agent that coordinates the group's maps at present.
struct coordinator_beat {
    std::uint32_t rank = 0;
    group_epoch epoch = 0;
};

// How a rank stands, as read back from its engine, and what its agent has promised.
struct rank_status {
    std::uint32_t rank = 0;
    std::uint32_t ranks = 0;
    group_epoch epoch = 0;
    bool groupOpen = false;
    pass_number pass = 0;
    map_number mapVersion = 0;
    // What the rank holds by the map in force, set by set.
    std::vector<std::vector<expert_number>> experts;
    std::optional<map_number> preparedVersion;
    std::uint64_t preparedDigest = 0;
    std::optional<map_number> armedVersion;
    std::optional<pass_number> armedPass;
    std::optional<pass_number> heldPass;
    // The latest pass at which the rank will never switch.
    std::optional<pass_number> declinedPass;
};

// Choices of experts by one rank's requests since its last message, by set and expert.
struct rank_choices {
    std::uint32_t rank = 0;
    std::vector<std::uint32_t> chosen;
};

// Load what this map brings, beside the map in force.
struct map_proposal {
    group_epoch epoch = 0;
    map_number version = 0;
    group_map map;
};

// Hold before the pass, then arm the map for it.
struct switch_request {
    switch_name name;
};

// All ranks are armed, or one never will be. Either is final.
struct switch_outcome {
    switch_name name;
    bool committed = false;
};

// A rank waits at that pass without an outcome: tell the outcome if you know it, and else how your rank stands. A rank
// that takes no part in a switch at that pass declines it.
struct status_query {
    group_epoch epoch = 0;
    pass_number pass = 0;
};

using group_message = std::variant<coordinator_beat, rank_status, rank_choices, map_proposal, switch_request, switch_outcome,
    status_query>;

} // namespace appleramp
