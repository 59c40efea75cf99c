#pragma once

#include "decisions/agent/attempt_runner.h"
#include "decisions/entry/entry_context.h"

#include <string>
#include <string_view>
#include <variant>

namespace appleramp {

// Identity of the process that recorded a trace; its reducer was constructed from it.
using process_identity = std::variant<entry_identity, agent_identity>;

// Encodes the first line of a trace, without the line feed. The lines after it are events as encodeEvent writes them.
std::string encodeTraceHeader(const process_identity&);

// Throws replay_error if the line is not a valid trace header.
process_identity decodeTraceHeader(std::string_view line);

} // namespace appleramp
