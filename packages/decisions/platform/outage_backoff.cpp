#include "decisions/platform/outage_backoff.h"

#include <algorithm>
#include <cassert>

namespace appleramp {

namespace {

constexpr auto growth = 2;

} // namespace

outage_backoff::outage_backoff(std::uint64_t seed, outage_backoff_limits limits)
    : m_limits(limits)
    , m_random(seed)
    , m_ceiling(limits.firstDelay)
{
    assert(limits.firstDelay.count() > 0 && limits.maxDelay >= limits.firstDelay);
}

bool outage_backoff::admits(instant now)
{
    if (!m_nextTrial)
        return true;
    if (now < *m_nextTrial)
        return false;
    // Others wait for this trial's outcome. If none is reported, another trial follows all the same.
    m_nextTrial = now + m_limits.maxDelay;
    return true;
}

void outage_backoff::succeeded()
{
    m_nextTrial.reset();
    m_lostReplies = 0;
    m_ceiling = m_limits.firstDelay;
}

void outage_backoff::failed(instant now)
{
    m_nextTrial = now + drawDelay();
    m_ceiling = std::min(m_ceiling * growth, m_limits.maxDelay);
}

void outage_backoff::lostReply(instant now)
{
    ++m_lostReplies;
    if (inOutage() || m_lostReplies >= m_limits.maxLostReplies)
        failed(now);
}

// Between half the ceiling and the whole, so that delays grow and still spread.
duration outage_backoff::drawDelay()
{
    const auto half = m_ceiling / 2;
    const auto spread = static_cast<std::uint64_t>((m_ceiling - half).count()) + 1;
    return half + duration(static_cast<duration::rep>(m_random() % spread));
}

} // namespace appleramp
