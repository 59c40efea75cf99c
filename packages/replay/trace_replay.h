#pragma once

#include <cstdint>
#include <functional>
#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

namespace appleramp {

// An event of a trace and the effects that the reducer returned for it.
struct replayed_event {
    // Position of the event in the trace, counted from 1.
    std::uint64_t number = 0;
    // The effects as JSON texts, in the order in which the reducer returned them.
    std::vector<std::string> effects;
};

using replay_observer = std::function<void(const replayed_event&)>;

// Applies the events of a trace to a reducer of the role that recorded them and reports each event to the observer.
// Replaying the same trace always yields the same bytes. Throws replay_error with the trace name and line number of the
// first invalid line.
void replayTrace(std::istream& trace, std::string_view sourceName, const replay_observer&);

} // namespace appleramp
