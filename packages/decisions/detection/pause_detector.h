#pragma once

#include "model/time.h"

#include <optional>

namespace appleramp {

// Notices that the process was paused: its clock jumped between two events although it asks for one every few
// milliseconds. What it knows may be old then.
class pause_detector {
public:
    // To be told of each event. True if the process was paused before it.
    bool sees(instant now);

private:
    std::optional<instant> m_last;
};

} // namespace appleramp
