#pragma once

#include "model/time.h"

namespace appleramp {

// Compares predicted times with actual ones, and corrects further predictions.
class forecast_error {
public:
    // `expected` was predicted with the correction of that time.
    void record(duration expected, duration actual);
    // Factor by which predictions are to be multiplied; 1 at first.
    double correction() const;
    // Moving average of the factor, 1 or more, by which predictions were off.
    double errorFactor() const;

private:
    double m_answers = 0;
    double m_logCorrection = 0;
    double m_meanAbsoluteLog = 0;
};

} // namespace appleramp
