#pragma once

#include "model/time.h"

namespace appleramp {

// The phases of an entry's stop after SIGTERM: it takes requests while callers may not know yet that it leaves, then only finishes what it
// has taken, and ends before the platform kills it.
class planned_stop {
public:
    // `addressesKnownFor` is the time after the signal in which callers may still use this entry's address.
    planned_stop(instant startedAt, duration grace, duration addressesKnownFor);

    bool takesRequests(instant now) const { return now - m_startedAt < m_takesFor; }
    // The time for what was taken is over.
    bool isOver(instant now) const { return now - m_startedAt >= m_finishesFor; }

private:
    instant m_startedAt;
    duration m_takesFor;
    duration m_finishesFor;
};

} // namespace appleramp
