#pragma once

#include "decisions/maps/expert_map.h"
#include "model/identifiers.h"

#include <compare>
#include <cstdint>
#include <string>
#include <variant>

namespace appleramp {

// Identifies one attempt to change or repair a group's state. Rounds are totally ordered: a rank that has answered one
// accepts no order of an earlier one.
struct map_round {
    // Fencing number of the lease holder that runs the round, or whose round is being ended.
    fencing_number fencing = 0;
    std::uint64_t number = 0;
    // Both zero for a round run by the lease holder. Otherwise they identify an attempt of rank 0's agent to end that
    // round without its holder: the agent's incarnation and the number of the attempt.
    incarnation endingAgent = 0;
    std::uint64_t endingAttempt = 0;

    friend auto operator<=>(const map_round&, const map_round&) = default;
};

// Version of a map: the round that installed it. All zero for the map that an engine starts with.
using map_version = map_round;

// Pairs an incarnation of an agent with a boot of its engine. Orders name their session, so that orders from before a
// restart are refused.
struct guard_session {
    incarnation agent = 0;
    std::uint64_t engine = 0;

    friend auto operator<=>(const guard_session&, const guard_session&) = default;
};

// The changes that a round can apply. The first two take effect between two steps, for which the ranks are held;
// loading a model or an adapter does not interrupt stepping.

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

using group_change = std::variant<new_expert_map, new_role, load_model, load_adapter>;

// Orders, from the coordinator that runs a round to the agents of all ranks.

// Asks the rank to promise that it accepts no order of an earlier round, and to report its state.
struct collect_rank {
    static constexpr const char* name = "collect_rank";
    map_round round;
};
// Loads what the change needs, while the current version stays active.
struct prepare_rank {
    static constexpr const char* name = "prepare_rank";
    map_round round;
    guard_session session;
    map_version version;
    group_change change;
};
// Holds the rank before the given step.
struct hold_rank {
    static constexpr const char* name = "hold_rank";
    map_round round;
    guard_session session;
    std::uint64_t beforeStep = 0;
};
// Activates a prepared version. The rank must be held.
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
    // Active at the engine, as read back from it.
    map_version installed;
    // Active in the last step that the engine began.
    map_version lastRun;
    bool held = false;
    // The first step that the engine has not begun.
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
// Sent instead of rank_held if the rank had already begun the step before which it should have held.
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
    // The rank has answered a later round.
    Stale,
    // The agent has not read the highest fencing number from the table yet.
    FencingUnknown,
    // The agent or its engine restarted since the round began.
    SessionChanged,
    // The order is not valid in the rank's current state.
    OutOfOrder,
    EngineFailed,
};
struct rank_refused {
    static constexpr const char* name = "rank_refused";
    map_round round;
    order_refusal reason = order_refusal::Stale;
    // The latest round that the rank has answered.
    map_round promised;
};

// From a rank that has been held for too long without an order, to the agent of rank 0: asks it to end the round
// without the lease holder.
struct ending_wanted {
    static constexpr const char* name = "ending_wanted";
    map_round promised;
};

using map_message = std::variant<collect_rank, prepare_rank, hold_rank, install_rank, resume_rank, rank_snapshot,
    rank_prepared, rank_held, hold_passed, rank_installed, rank_resumed, rank_refused, ending_wanted>;

// True for orders, which go to a rank_guard. All other messages go to a map_coordinator.
bool isOrder(const map_message& message);

} // namespace appleramp
