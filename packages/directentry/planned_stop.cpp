#include "directentry/planned_stop.h"

#include "decisions/forwarding/durations.h"

#include <algorithm>

namespace appleramp {

namespace {

// Largest fraction of the grace period after SIGTERM in which callers are still served.
constexpr double takesPart = 0.45;
// Fractions of the grace period after which remaining requests are ended, and after which the process ends, before SIGKILL, though the
// last answers may not be sent.
constexpr double finishesPart = 0.93;
constexpr double endsPart = 0.97;

} // namespace

planned_stop::planned_stop(instant startedAt, duration grace, duration addressesKnownFor)
    : m_startedAt(startedAt)
    , m_takesFor(std::min(addressesKnownFor, scaled(grace, takesPart)))
    , m_finishesFor(scaled(grace, finishesPart))
    , m_endsAfter(scaled(grace, endsPart))
{
}

} // namespace appleramp
