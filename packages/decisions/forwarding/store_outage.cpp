#include "decisions/forwarding/store_outage.h"

#include "decisions/forwarding/durations.h"

#include <algorithm>

namespace appleramp {

namespace {

constexpr int timeLeftDivisor = 3;

} // namespace

std::optional<duration> store_outage::retryAfter(instant now, duration timeLeft, double randomFraction) const
{
    if (!m_lostAt)
        return std::nullopt;
    const duration spread = std::clamp(now - *m_lostAt, minSpread, maxSpread);
    const duration latest = std::min(minRetryAfter + spread, timeLeft / timeLeftDivisor);
    const duration earliest = std::min(minRetryAfter, latest);
    return earliest + scaled(latest - earliest, randomFraction);
}

} // namespace appleramp
