#pragma once

#include "decisions/maps/map_messages.h"
#include "model/effects.h"
#include "model/events.h"

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace appleramp {

// Orders to the engine beside the agent. The connection keeps their sequence; they end with it.

// Report the state; changes nothing.
struct read_engine {
    static constexpr const char* name = "read_engine";
};
struct prepare_engine {
    static constexpr const char* name = "prepare_engine";
    map_version version;
    round_content content;
};
struct hold_engine {
    static constexpr const char* name = "hold_engine";
    std::uint64_t beforeStep = 0;
};
struct install_engine {
    static constexpr const char* name = "install_engine";
    map_version version;
};
// Begin steps again, and drop a hold that has not been reached.
struct resume_engine {
    static constexpr const char* name = "resume_engine";
};

using engine_order = std::variant<read_engine, prepare_engine, hold_engine, install_engine, resume_engine>;

// How an engine says it stands.
struct engine_state {
    // Grows with each start of the engine.
    std::uint64_t boot = 0;
    map_version installed;
    map_version lastRun;
    // Engines start held, because their map may be old.
    bool held = true;
    // A hold whose step has not been reached.
    bool holdPending = false;
    std::uint64_t nextStep = 0;
};

// Effects of the coordination's reducers, besides call_platform and record_decision.

struct send_map_message {
    static constexpr const char* name = "send_map_message";
    rank_index to = 0;
    map_message message;
};
struct order_engine {
    static constexpr const char* name = "order_engine";
    std::uint64_t number = 0;
    // The life of the engine that the order is meant for.
    std::uint64_t boot = 0;
    fencing_number fencing = 0;
    engine_order order;
};

using maps_effect = std::variant<send_map_message, order_engine, call_platform, record_decision>;
using maps_effects = std::vector<maps_effect>;

// Events of the coordination's reducers, besides platform_replied and time_passed.

struct map_message_received {
    static constexpr const char* name = "map_message_received";
    rank_index from = 0;
    map_message message;
};
struct engine_answered {
    static constexpr const char* name = "engine_answered";
    std::uint64_t number = 0;
    bool done = false;
    engine_state state;
};
// The engine started, or reached a step before which it was to hold.
struct engine_changed {
    static constexpr const char* name = "engine_changed";
    engine_state state;
};
// Someone asks the group's lease holder for a change.
struct change_wanted {
    static constexpr const char* name = "change_wanted";
    round_content content;
};

using maps_event_body = std::variant<map_message_received, platform_replied, time_passed, engine_answered,
    engine_changed, change_wanted>;

struct maps_event {
    instant at;
    maps_event_body body;
};

} // namespace appleramp
