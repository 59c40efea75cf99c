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

// One item of the platform's instance list, which may be out of date.
struct listed_instance {
    instance_id instance;
    process_role role = process_role::Entry;
    availability_zone_id zone;
    // Numeric address and port on which the process accepts links.
    std::string linkAddress;
    // Address that callers connect to; empty for agents.
    std::string callerAddress;
    instance_state state = instance_state::Live;
};

} // namespace appleramp
