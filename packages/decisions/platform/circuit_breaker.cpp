#include "decisions/platform/circuit_breaker.h"

#include <algorithm>
#include <cassert>

namespace appleramp {

namespace {

constexpr auto growthFactor = 2;

} // namespace

circuit_breaker::circuit_breaker(std::uint64_t seed, circuit_breaker_limits limits)
    : m_limits(limits)
    , m_random(seed)
    , m_maxNextDelay(limits.firstDelay)
{
    assert(limits.firstDelay.count() > 0 && limits.maxDelay >= limits.firstDelay);
}

bool circuit_breaker::allowsCall(instant now)
{
    if (!m_nextProbeAt)
        return true;
    if (now < *m_nextProbeAt)
        return false;
    // Other calls wait for this probe's outcome. If none is reported, the next probe follows after maxDelay.
    m_nextProbeAt = now + m_limits.maxDelay;
    return true;
}

void circuit_breaker::succeeded()
{
    m_nextProbeAt.reset();
    m_lostReplies = 0;
    m_maxNextDelay = m_limits.firstDelay;
}

void circuit_breaker::failed(instant now)
{
    m_nextProbeAt = now + randomDelay();
    m_maxNextDelay = std::min(m_maxNextDelay * growthFactor, m_limits.maxDelay);
}

void circuit_breaker::replyLost(instant now)
{
    ++m_lostReplies;
    if (inOutage() || m_lostReplies >= m_limits.lostRepliesForOutage)
        failed(now);
}

// Draws from the upper half of the range up to m_maxNextDelay, so that delays grow and still have jitter.
duration circuit_breaker::randomDelay()
{
    const auto half = m_maxNextDelay / 2;
    const auto spread = static_cast<std::uint64_t>((m_maxNextDelay - half).count()) + 1;
    return half + duration(static_cast<duration::rep>(m_random() % spread));
}

} // namespace appleramp
