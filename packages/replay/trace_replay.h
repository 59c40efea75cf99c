#pragma once

#include <cstdint>
#include <functional>
#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

namespace appleramp {

// One event of a trace with what the reducer made of it.
struct replayed_event {
    // Counted from 1 in the order of the trace.
    std::uint64_t number = 0;
    // One JSON text per effect, in the reducer's order.
    std::vector<std::string> effects;
};

using replay_observer = std::function<void(const replayed_event&)>;

// Runs the events of a trace through the reducer of the role that recorded them. The same trace gives the same bytes.
// Throws replay_error naming the trace and the line that can't be read.
void replayTrace(std::istream& trace, std::string_view nameForErrors, const replay_observer&);

} // namespace appleramp
