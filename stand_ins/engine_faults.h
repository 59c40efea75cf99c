#pragma once

#include <nlohmann/json_fwd.hpp>

#include <chrono>
#include <cstdint>
#include <string>

namespace appleramp::stand_ins {

// Faults of a stand-in engine that stand at present.
struct engine_faults {
    // A request whose body contains this text crashes the engine; empty: none does.
    std::string crashMarker;
    // So many of the next requests are taken and dropped before their work, or after it.
    std::uint32_t dropBeforeWork = 0;
    std::uint32_t dropAfterWork = 0;
    // Each request waits this long before its work.
    std::chrono::milliseconds stall {};
    // What GET /health says.
    bool unhealthy = false;
};

// Things that happen to an engine once, when they are asked for.
struct engine_incidents {
    // The warm-up is lost although the process goes on.
    bool turnCold = false;
    bool crash = false;
    // A crashed engine comes back with a new boot id, cold.
    bool restart = false;
};

// Changes the faults that the document names and keeps the others.
engine_faults updated(engine_faults faults, const nlohmann::json& document);
engine_incidents incidentsFromJson(const nlohmann::json& document);
nlohmann::json faultsToJson(const engine_faults& faults);

} // namespace appleramp::stand_ins
