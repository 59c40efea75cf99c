#pragma once

#include "model/effects.h"
#include "model/events.h"

#include <string>
#include <string_view>

namespace appleramp {

// One JSON line, without the line feed, per event or effect. Equal values give equal bytes.
std::string encodeEvent(const entry_event& event);
std::string encodeEvent(const agent_event& event);
std::string encodeEffect(const entry_effect& effect);
std::string encodeEffect(const agent_effect& effect);

// Each throws wire_error if the line is not one event of that role.
entry_event decodeEntryEvent(std::string_view line);
agent_event decodeAgentEvent(std::string_view line);

} // namespace appleramp
