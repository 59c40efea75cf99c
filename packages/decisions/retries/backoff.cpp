#include "decisions/retries/backoff.h"

#include <algorithm>

namespace appleramp {

namespace {

constexpr duration initialDelay = std::chrono::milliseconds(20);
constexpr std::uint32_t maxDoublings = 6;

} // namespace

duration backoff::nextDelay(std::uint32_t sends)
{
    const auto doublings = std::min(sends, maxDoublings);
    const auto maxDelay = initialDelay.count() * (std::int64_t { 1 } << doublings);
    // Half of the delay is fixed, the other half is jitter. The jitter is computed by hand because the distributions of
    // <random> yield different values in different standard libraries, so equal seeds would not give equal delays.
    const auto jitter = static_cast<std::int64_t>(m_generator() % static_cast<std::uint64_t>(maxDelay / 2));
    return duration(maxDelay / 2 + jitter);
}

} // namespace appleramp
