#include "decisions/workload/arrival_rate.h"

#include <algorithm>
#include <cmath>

namespace appleramp {

namespace {

// Demand changes within seconds, and an entry sees a few requests in a second.
constexpr double halfLifeSeconds = 2.0;

double weightAfter(duration time) { return std::exp2(-std::chrono::duration<double>(std::max(time, duration::zero())).count() / halfLifeSeconds); }

} // namespace

void arrival_rate::record(instant now)
{
    m_weight = m_weight * weightAfter(now - m_updatedAt) + 1;
    m_updatedAt = now;
}

double arrival_rate::perSecond(instant now) const
{
    return m_weight * weightAfter(now - m_updatedAt) * std::log(2.0) / halfLifeSeconds;
}

} // namespace appleramp
