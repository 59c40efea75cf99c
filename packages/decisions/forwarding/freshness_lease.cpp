#include "decisions/forwarding/freshness_lease.h"

#include <algorithm>

namespace appleramp {

void freshness_lease::confirm(instant readSentAt)
{
    m_confirmedAt = m_confirmedAt ? std::max(*m_confirmedAt, readSentAt) : readSentAt;
}

std::optional<duration> freshness_lease::age(instant now) const
{
    if (!m_confirmedAt)
        return std::nullopt;
    return now - *m_confirmedAt;
}

bool freshness_lease::allowsKeyUse(instant now) const
{
    const auto currentAge = age(now);
    return currentAge && *currentAge <= m_settings.revocationBound - m_settings.sendMargin;
}

bool freshness_lease::allowsDefiniteRefusal(instant now) const
{
    const auto currentAge = age(now);
    return currentAge && *currentAge <= m_settings.definiteRefusalMaxAge;
}

} // namespace appleramp
