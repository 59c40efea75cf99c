#pragma once

#include "model/time.h"

namespace appleramp {

// Share of attempts that failed, in which older attempts count less.
class failure_rate {
public:
    // `failure` is between 0, a sound answer, and 1.
    void record(instant now, double failure);
    double failures(instant now) const { return m_failures * weight(now); }
    double attempts(instant now) const { return m_attempts * weight(now); }
    // The share, with so many attempts of the presumed rate added, which dominate while few are known.
    double smoothed(instant now, double presumedRate, double presumedAttempts) const;

private:
    double weight(instant now) const;

    double m_failures = 0;
    double m_attempts = 0;
    instant m_updatedAt;
};

} // namespace appleramp
