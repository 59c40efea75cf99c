#pragma once

#include "model/effects.h"
#include "model/events.h"

#include <string>
#include <string_view>

namespace appleramp {

// Each encodes an event or effect as one line of JSON without the line feed. Equal values are encoded to equal bytes.
std::string encodeEvent(const entry_event& event);
std::string encodeEvent(const agent_event& event);
std::string encodeEffect(const entry_effect& effect);
std::string encodeEffect(const agent_effect& effect);

// Each throws wire_error if the line is not an event of that role.
entry_event decodeEntryEvent(std::string_view line);
agent_event decodeAgentEvent(std::string_view line);

} // namespace appleramp
