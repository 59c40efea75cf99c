#include "decisions/workload/failure_rate.h"

#include <algorithm>
#include <cmath>

namespace appleramp {

namespace {

// An entry sends an endpoint about one request in 6 s, so that a shorter time would forget each failure before the next.
constexpr double halfLifeSeconds = 30.0;

} // namespace

double failure_rate::weight(instant now) const
{
    return std::exp2(-std::chrono::duration<double>(std::max(now - m_updatedAt, duration::zero())).count() / halfLifeSeconds);
}

void failure_rate::record(instant now, double failure)
{
    const double past = weight(now);
    m_failures = m_failures * past + failure;
    m_attempts = m_attempts * past + 1;
    m_updatedAt = now;
}

double failure_rate::smoothed(instant now, double presumedRate, double presumedAttempts) const
{
    return (failures(now) + presumedRate * presumedAttempts) / (attempts(now) + presumedAttempts);
}

} // namespace appleramp
