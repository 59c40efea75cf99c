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
    // Agents of its zone tell it what their ranks chose; that is enough, and crosses no zones.
    std::string zone;
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
    // The latest map that the agent was told of.
    map_number proposedVersion = 0;
    std::optional<map_number> preparedVersion;
    std::uint64_t preparedDigest = 0;
    std::optional<map_number> armedVersion;
    std::optional<pass_number> armedPass;
    std::optional<pass_number> heldPass;
    // Passes at which the rank will never switch; the latest few.
    std::vector<pass_number> declinedPasses;
    // How many times longer than usual the rank takes for its work.
    double pace = 1;
};

// Choices of experts by one rank's requests since its last message, by set and expert.
struct rank_choices {
    std::uint32_t rank = 0;
    std::vector<std::uint32_t> chosen;
};

// What one rank is to hold of one set.
struct rank_experts {
    std::uint16_t set = 0;
    std::uint16_t rank = 0;
    std::vector<expert_number> experts;

    friend bool operator==(const rank_experts&, const rank_experts&) = default;
};

// Load what this map brings, beside the map in force.
struct map_proposal {
    group_epoch epoch = 0;
    map_number version = 0;
    group_map map;
};

// The same, as what differs from the map in force: a tenth of the bytes in a large group.
struct map_changes {
    group_epoch epoch = 0;
    map_number version = 0;
    map_number base = 0;
    std::vector<rank_experts> changes;
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
    switch_name name;
    // Who asks.
    std::uint32_t rank = 0;
};

// Tell the coordinator now how your rank stands.
struct status_wanted {
    group_epoch epoch = 0;
    std::uint32_t rank = 0;
};

using group_message = std::variant<coordinator_beat, rank_status, rank_choices, map_proposal, map_changes, switch_request, switch_outcome,
    status_query, status_wanted>;

} // namespace appleramp
