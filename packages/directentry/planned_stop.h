#pragma once

#include "model/time.h"

namespace appleramp {

// The phases of an entry's stop after SIGTERM: it takes requests while callers may not know yet that it leaves, then only finishes what it
// has taken, then ends what is not finished with an answer, and is gone before the platform kills it.
class planned_stop {
public:
    // `addressesKnownFor` is the time after the signal in which callers may still use this entry's address.
    planned_stop(instant startedAt, duration grace, duration addressesKnownFor);

    bool takesRequests(instant now) const { return now - m_startedAt < m_takesFor; }
    // What was taken may still be finished; after that it is ended as it is.
    bool hasTimeToFinish(instant now) const { return now < answersEnd(); }
    instant answersEnd() const { return m_startedAt + m_finishesFor; }
    // The process has to end, though answers may be unsent.
    bool isOver(instant now) const { return now - m_startedAt >= m_endsAfter; }

private:
    instant m_startedAt;
    duration m_takesFor;
    duration m_finishesFor;
    duration m_endsAfter;
};

} // namespace appleramp
