#pragma once

#include "decisions/forwarding/forwarding_events.h"
#include "model/time.h"

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace appleramp {

// Requests that arrived before this entry, which has just started, knew enough to decide on them.
//
// When all entries restart at once, callers have no other entry to try, and most of them retry only once. An entry that starts
// is ready within a second or two, well within the time of most callers, so it keeps their requests for a while instead of
// refusing them.
class starting_requests {
public:
    struct entry {
        caller_request caller;
        instant arrivedAt;
        instant waitEnd;
    };

    // The longest wait is zero if requests never wait.
    starting_requests(instant startedAt, duration longestWait);

    // Until when a request that arrived then may wait; nothing if it must be decided on at once.
    std::optional<instant> waitEnd(instant now, instant arrivedAt, const caller_request& caller) const;
    // Keeps a request that has just arrived. Returns false if it must be decided on at once.
    bool add(instant now, request_number request, const caller_request& caller);
    // When a kept request is to be tried again; nothing if its wait is over.
    std::optional<instant> nextTry(instant now, request_number request) const;
    // Removes and returns a kept request.
    std::optional<entry> take(request_number request);
    bool contains(request_number request) const { return m_entries.contains(request); }
    std::vector<request_number> numbers() const;
    std::size_t size() const { return m_entries.size(); }

    // A process counts as starting for this long. One that is not ready by then is cut off from the store, which may last.
    static constexpr duration startTime = std::chrono::seconds(5);
    // A request waits for at most this part of its caller's time, so that most of it is left to serve the request.
    static constexpr int waitDivisor = 3;
    static constexpr duration retryInterval = std::chrono::milliseconds(50);
    // Further requests are refused, so that a process with little memory survives a rush of callers.
    static constexpr std::size_t maxEntries = 256;

private:
    instant m_startedAt;
    duration m_longestWait;
    std::map<request_number, entry> m_entries;
};

} // namespace appleramp
