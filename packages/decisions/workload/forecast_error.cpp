#include "decisions/workload/forecast_error.h"

#include <algorithm>
#include <cmath>

namespace appleramp {

namespace {

// The newest answer has at least this weight in the error, so about the last 50 count.
constexpr double leastWeight = 0.02;
// Part of an error by which the correction follows. Requests are answered long after later ones were predicted, so that a larger part
// would correct the same error more than once.
constexpr double correctionWeight = 0.02;
// The correction stays within a factor of 3: beyond it something else than the engine's speed is at fault.
constexpr double maxLogCorrection = 1.1;
// Times below this are dominated by the resolution of events.
constexpr duration leastTime = std::chrono::milliseconds(1);

} // namespace

void forecast_error::record(duration expected, duration actual)
{
    const double ratio = static_cast<double>(std::max(actual, leastTime).count()) / static_cast<double>(std::max(expected, leastTime).count());
    const double error = std::clamp(std::log(ratio), -maxLogCorrection, maxLogCorrection);
    m_answers = std::min(m_answers + 1, 1 / leastWeight);
    m_logCorrection = std::clamp(m_logCorrection + correctionWeight * error, -maxLogCorrection, maxLogCorrection);
    m_meanAbsoluteLog += (std::abs(error) - m_meanAbsoluteLog) / m_answers;
}

double forecast_error::correction() const { return std::exp(m_logCorrection); }

double forecast_error::errorFactor() const { return std::exp(m_meanAbsoluteLog); }

} // namespace appleramp
