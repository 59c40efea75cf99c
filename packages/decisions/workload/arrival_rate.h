#pragma once

#include "model/time.h"

namespace appleramp {

// Moving average of the rate of events.
class arrival_rate {
public:
    void record(instant now);
    double perSecond(instant now) const;

private:
    // Events of the past, each with a weight that halves in halfLife.
    double m_weight = 0;
    instant m_updatedAt;
};

} // namespace appleramp
