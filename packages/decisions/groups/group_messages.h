#pragma once

#include "decisions/groups/group_map.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace appleramp {

// Increases each time the engines of a group form it anew, for example after one of them restarted.
using group_epoch = std::uint64_t;
// The version of a map: increases with each map and includes a digest of it, so that equal versions mean equal contents.
using group_map_version = std::uint64_t;
// Number of a forward pass, which the engines of a group run together.
using pass_number = std::uint64_t;

// Identifies one switch: in that epoch, the group changes to that version of the map at the beginning of that pass.
struct switch_id {
    group_epoch epoch = 0;
    group_map_version version = 0;
    pass_number pass = 0;

    friend bool operator==(const switch_id&, const switch_id&) = default;
};

// Heartbeat of the agent that leads the group.
struct coordinator_heartbeat {
    std::uint32_t rank = 0;
    group_epoch epoch = 0;
    // In a large group only the agents in this zone report expert choices: they are a sufficient sample, and the reports
    // cause no traffic between zones.
    std::string zone;
    // Where the sender receives datagrams, set by its process. Relays forward the heartbeat from their own addresses.
    std::string address;
};

// The state of a rank as last read from its engine, and the passes for which its agent has declined to switch.
struct rank_status {
    std::uint32_t rank = 0;
    std::uint32_t ranks = 0;
    group_epoch epoch = 0;
    bool groupOpen = false;
    pass_number pass = 0;
    group_map_version mapVersion = 0;
    // Experts that the rank holds by the map in force, by set.
    std::vector<std::vector<expert_number>> experts;
    // The latest map that was proposed to the agent.
    group_map_version proposedVersion = 0;
    std::optional<group_map_version> preparedVersion;
    std::uint64_t preparedDigest = 0;
    std::optional<group_map_version> armedVersion;
    std::optional<pass_number> armedPass;
    std::optional<pass_number> heldPass;
    // The latest passes at which the rank will never switch.
    std::vector<pass_number> declinedPasses;
    // Time that the rank takes for its work, as a multiple of the usual time.
    double slowdownFactor = 1;
    // The pass from which on the agent takes part in switches with a single hold; none if it does not know them. See hold_keeper.
    std::optional<pass_number> singleHoldFromPass;
    // Pass of an arm order that was sent and may still be carried out. 0: the pass is not known, as an earlier process sent it.
    std::optional<pass_number> unsettledArmPass;
};

// Whether the rank is not armed for the pass and never will be.
bool canNeverBeArmed(const rank_status& status, pass_number pass);

// How often one rank's requests chose each expert since its last message, by set and expert.
struct expert_choice_counts {
    std::uint32_t rank = 0;
    std::vector<std::uint32_t> counts;
};

// The experts of one set that one rank is to hold.
struct rank_experts {
    std::uint16_t set = 0;
    std::uint16_t rank = 0;
    std::vector<expert_number> experts;

    friend bool operator==(const rank_experts&, const rank_experts&) = default;
};

// Asks every rank to load the experts that this map gives it, while the map in force stays in use.
struct map_proposal {
    group_epoch epoch = 0;
    group_map_version version = 0;
    group_map map;
};

// A proposal as its differences from the map with version `base`, the map in force: a tenth of the bytes in a large group.
struct map_changes {
    group_epoch epoch = 0;
    group_map_version version = 0;
    group_map_version base = 0;
    std::vector<rank_experts> changes;
};

// Asks every rank to hold before the pass, and then to arm the map for it; with a holder, only that rank is held.
struct switch_request {
    switch_id name;
    // With a single hold: the only rank that is held. The other ranks arm when its agent permits it.
    std::optional<std::uint32_t> holder = std::nullopt;
};

// The sender's rank is held for the switch. Asks every agent whether its rank can arm.
struct arm_readiness_request {
    switch_id name;
    std::uint32_t holder = 0;
    // Where the holder's agent receives datagrams, set by its process.
    std::string address;
};

// Answer to arm_readiness_request.
struct arm_readiness {
    switch_id name;
    std::uint32_t rank = 0;
    bool isReady = false;
};

// Every rank is ready and the holder is still held: asks every rank to arm.
struct arm_permission {
    switch_id name;
    std::uint32_t holder = 0;
};

// The final outcome of a switch: committed, as all ranks are armed, or aborted, as some rank never will be.
struct switch_outcome {
    switch_id name;
    bool committed = false;
};

// A rank is held at that pass without an outcome. The receiver sends the outcome if it knows it, and reports its status.
// A rank that takes no part in a switch at that pass declines it.
struct status_query {
    switch_id name;
    // The rank whose agent asks.
    std::uint32_t rank = 0;
};

// Asks every agent to report its status to `rank` at once.
struct status_request {
    group_epoch epoch = 0;
    std::uint32_t rank = 0;
};

using group_message = std::variant<coordinator_heartbeat, rank_status, expert_choice_counts, map_proposal, map_changes, switch_request, switch_outcome,
    status_query, status_request, arm_readiness_request, arm_readiness, arm_permission>;

} // namespace appleramp
