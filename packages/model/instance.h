#pragma once

#include "model/identifiers.h"
#include "model/messages.h"

#include <cstdint>
#include <string>

namespace appleramp {

enum class instance_state {
    Live,
    Leaving,
};

// One line of the platform's instance list, which lags behind the truth.
struct listed_instance {
    instance_id instance;
    process_role role = process_role::Entry;
    availability_zone_id zone;
    // Numeric address and port of the process's link listener.
    std::string linkAddress;
    // Where callers connect; empty for agents.
    std::string callerAddress;
    instance_state state = instance_state::Live;
};

} // namespace appleramp
