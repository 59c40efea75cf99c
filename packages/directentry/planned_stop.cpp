#include "directentry/planned_stop.h"

#include "decisions/forwarding/durations.h"

#include <algorithm>

namespace appleramp {

namespace {

// Largest fraction of the grace period after SIGTERM in which callers are still served.
constexpr double takesPart = 0.45;
// Fraction of the grace period after which remaining requests are aborted, so that the process ends before SIGKILL.
constexpr double finishesPart = 0.93;

} // namespace

planned_stop::planned_stop(instant startedAt, duration grace, duration addressesKnownFor)
    : m_startedAt(startedAt)
    , m_takesFor(std::min(addressesKnownFor, scaled(grace, takesPart)))
    , m_finishesFor(scaled(grace, finishesPart))
{
}

} // namespace appleramp
