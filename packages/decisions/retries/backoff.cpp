#include "decisions/retries/backoff.h"

#include <algorithm>

namespace appleramp {

namespace {

constexpr duration firstWait = std::chrono::milliseconds(20);
constexpr std::uint32_t maxDoublings = 6;

} // namespace

duration backoff::next(std::uint32_t sends)
{
    const auto doublings = std::min(sends, maxDoublings);
    const auto longest = firstWait.count() * (std::int64_t { 1 } << doublings);
    // Half fixed, half jitter; the standard's distributions differ between libraries.
    const auto jitter = static_cast<std::int64_t>(m_generator() % static_cast<std::uint64_t>(longest / 2));
    return duration(longest / 2 + jitter);
}

} // namespace appleramp
