#pragma once

#include "decisions/maps/map_messages.h"
#include "model/effects.h"
#include "model/events.h"

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace appleramp {

// Orders to the agent's local engine. The connection delivers them in order; they are void once it closes.

// Asks for the engine's state without changing it.
struct read_engine {
    static constexpr const char* name = "read_engine";
};
struct prepare_engine {
    static constexpr const char* name = "prepare_engine";
    map_version version;
    group_change change;
};
struct hold_engine {
    static constexpr const char* name = "hold_engine";
    std::uint64_t beforeStep = 0;
};
struct install_engine {
    static constexpr const char* name = "install_engine";
    map_version version;
};
// Resumes stepping, and cancels a hold whose step has not been reached.
struct resume_engine {
    static constexpr const char* name = "resume_engine";
};

using engine_order = std::variant<read_engine, prepare_engine, hold_engine, install_engine, resume_engine>;

// State of an engine as the engine reports it.
struct engine_state {
    // Increases with each start of the engine.
    std::uint64_t boot = 0;
    map_version installed;
    map_version lastRun;
    // Engines start held, because their map may be outdated.
    bool held = true;
    // True while a hold waits for its step to be reached.
    bool holdPending = false;
    std::uint64_t nextStep = 0;
};

// Effects of map_coordinator and rank_guard, besides call_platform and record_decision.

struct send_map_message {
    static constexpr const char* name = "send_map_message";
    rank_index to = 0;
    map_message message;
};
struct order_engine {
    static constexpr const char* name = "order_engine";
    std::uint64_t number = 0;
    // Boot of the engine that the order is meant for; 0 if it is not known yet.
    std::uint64_t boot = 0;
    fencing_number fencing = 0;
    engine_order order;
};

using maps_effect = std::variant<send_map_message, order_engine, call_platform, record_decision>;
using maps_effects = std::vector<maps_effect>;

// Events of map_coordinator and rank_guard, besides platform_replied and time_passed.

struct map_message_received {
    static constexpr const char* name = "map_message_received";
    rank_index from = 0;
    map_message message;
};
struct engine_answered {
    static constexpr const char* name = "engine_answered";
    std::uint64_t number = 0;
    bool succeeded = false;
    engine_state state;
};
// Sent when the engine has started, or has reached the step before which it was told to hold.
struct engine_changed {
    static constexpr const char* name = "engine_changed";
    engine_state state;
};
// Requests a change of the group. Every agent may get it; only the lease holder acts on it.
struct change_wanted {
    static constexpr const char* name = "change_wanted";
    group_change change;
};

using maps_event_body = std::variant<map_message_received, platform_replied, time_passed, engine_answered,
    engine_changed, change_wanted>;

struct maps_event {
    instant at;
    maps_event_body body;
};

} // namespace appleramp
