#pragma once

#include "decisions/maps/expert_map.h"
#include "model/identifiers.h"

#include <compare>
#include <cstdint>
#include <string>
#include <variant>

namespace appleramp {

// Names one attempt to change or repair a group's state. Rounds are totally ordered: a rank that has answered to one
// takes no order of an earlier one.
struct map_round {
    // Of the holder whose round it is, or whose round is being ended.
    fencing_number fencing = 0;
    std::uint64_t number = 0;
    // Zero for a holder's round. Else one of the attempts, by this life of the agent of rank 0, to end that round
    // without its holder.
    incarnation endingAgent = 0;
    std::uint64_t ending = 0;

    friend auto operator<=>(const map_round&, const map_round&) = default;
};

// The round that made a map. All zero for the map that an engine starts with.
using map_version = map_round;

// One connection of one agent's life to one life of its engine. Orders name it, so that none survives a restart.
struct guard_session {
    incarnation agent = 0;
    std::uint64_t engine = 0;

    friend auto operator<=>(const guard_session&, const guard_session&) = default;
};

// What a round brings to the ranks. The first two take force between steps; loads do not touch the steps.

struct new_expert_map {
    static constexpr const char* name = "new_expert_map";
};
struct new_role {
    static constexpr const char* name = "new_role";
    std::string role;
};
struct load_model {
    static constexpr const char* name = "load_model";
    service_id service;
    std::string version;
};
struct load_adapter {
    static constexpr const char* name = "load_adapter";
    service_id service;
    adapter_id adapter;
};

using round_content = std::variant<new_expert_map, new_role, load_model, load_adapter>;

// Orders, from the agent that runs a round to the ranks' agents.

// Promise to take no order of an earlier round and say how the rank stands.
struct collect_rank {
    static constexpr const char* name = "collect_rank";
    map_round round;
};
// Load the content beside what is in force.
struct prepare_rank {
    static constexpr const char* name = "prepare_rank";
    map_round round;
    guard_session session;
    map_version version;
    round_content content;
};
// Begin no step from this one on.
struct hold_rank {
    static constexpr const char* name = "hold_rank";
    map_round round;
    guard_session session;
    std::uint64_t beforeStep = 0;
};
// Put a version in force; the rank must be held.
struct install_rank {
    static constexpr const char* name = "install_rank";
    map_round round;
    guard_session session;
    map_version version;
};
struct resume_rank {
    static constexpr const char* name = "resume_rank";
    map_round round;
    guard_session session;
    map_version version;
};

// Answers, from a rank's agent.

struct rank_snapshot {
    static constexpr const char* name = "rank_snapshot";
    map_round round;
    guard_session session;
    // In force at the engine, as read back from it.
    map_version installed;
    // In force in the last step that the engine began.
    map_version lastRun;
    bool held = false;
    // The next step that the engine has not begun.
    std::uint64_t nextStep = 0;
};
struct rank_prepared {
    static constexpr const char* name = "rank_prepared";
    map_round round;
    std::uint64_t nextStep = 0;
};
struct rank_held {
    static constexpr const char* name = "rank_held";
    map_round round;
    std::uint64_t nextStep = 0;
};
// The rank had already begun the step before which it was to hold.
struct hold_passed {
    static constexpr const char* name = "hold_passed";
    map_round round;
    std::uint64_t nextStep = 0;
};
struct rank_installed {
    static constexpr const char* name = "rank_installed";
    map_round round;
    // As read back from the engine.
    map_version installed;
};
struct rank_resumed {
    static constexpr const char* name = "rank_resumed";
    map_round round;
};

enum class order_refusal {
    // The rank has answered to a later round.
    Stale,
    // The agent has not learnt the highest fencing number from the table yet.
    NotLearnt,
    // The agent or its engine started anew since the round began.
    OtherSession,
    // The order does not fit the rank's state.
    OutOfOrder,
    EngineFailed,
};
struct rank_refused {
    static constexpr const char* name = "rank_refused";
    map_round round;
    order_refusal reason = order_refusal::Stale;
    // The latest round that the rank has answered to.
    map_round promised;
};

// From a rank that has been held without word for too long, to the agent of rank 0: end the round without its holder.
struct ending_wanted {
    static constexpr const char* name = "ending_wanted";
    map_round promised;
};

using map_message = std::variant<collect_rank, prepare_rank, hold_rank, install_rank, resume_rank, rank_snapshot,
    rank_prepared, rank_held, hold_passed, rank_installed, rank_resumed, rank_refused, ending_wanted>;

// True for orders, which go to a rank_guard; all else goes to a map_coordinator.
bool isOrder(const map_message& message);

} // namespace appleramp
