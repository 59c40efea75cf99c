#pragma once

#include "scenario.h"

#include <nlohmann/json_fwd.hpp>

namespace appleramp::zones {

enum class policy {
    Appleramp,
    RoundRobin,
    LeastOutstanding,
    // The reference: see one_queue_fleet.
    OneQueue,
};

// Plays one scenario under one policy: load, the zone out, the zone back cold.
run_log runScenario(const scenario& scenario, policy policy);

// The figures of a run, as docs/operations/zones.md defines them.
nlohmann::json figuresOf(const scenario& scenario, const run_log& log);

} // namespace appleramp::zones
