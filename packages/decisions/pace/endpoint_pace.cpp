#include "decisions/pace/endpoint_pace.h"

#include <algorithm>

namespace appleramp {

void endpoint_pace::begin(instant since, double firstRate)
{
    *this = {};
    m_hasBegun = m_isRamping = true;
    m_since = m_stepFrom = m_updatedAt = since;
    m_rate = std::max(firstRate, leastRate);
}

void endpoint_pace::recordSend(instant now)
{
    m_hasSent = true;
    ++m_awaited;
    if (!m_awaitsSince)
        m_awaitsSince = now;
}

void endpoint_pace::countAnswer()
{
    m_awaitsSince.reset();
    m_awaited -= std::min(m_awaited, 1U);
}

void endpoint_pace::recordCancellation() { countAnswer(); }

void endpoint_pace::recordAnswer(instant now, double slowness)
{
    countAnswer();
    recordReport(now, slowness <= goodSlowness);
}

void endpoint_pace::recordReport(instant now, bool isGood)
{
    m_isSeenGood = isGood;
    if (isGood)
        m_slowAt.reset();
    else
        m_slowAt = now;
}

void endpoint_pace::recordFailure(instant now)
{
    countAnswer();
    recordSilence(now);
}

void endpoint_pace::recordSilence(instant now)
{
    m_isSeenGood = false;
    m_rate = std::max(m_rate / 2, leastRate);
    m_stepFrom = now;
}

bool endpoint_pace::isHeld(instant now, duration usualTime) const
{
    if (m_slowAt && now - *m_slowAt < slownessMemory)
        return true;
    const auto overdueAfter = std::chrono::duration<double, duration::period>(goodSlowness * static_cast<double>(usualTime.count()));
    return m_awaitsSince && usualTime > duration::zero() && now - *m_awaitsSince > overdueAfter;
}

bool endpoint_pace::update(instant now, double ceiling, bool hasDemand, duration usualTime)
{
    if (!m_isRamping || now < m_updatedAt)
        return false;
    m_updatedAt = now;
    if (!hasDemand || isHeld(now, usualTime)) {
        // The time does not count, so that the next step is a whole one.
        m_stepFrom = now;
        return false;
    }
    // One step at a time, also after a standstill of the process.
    if (now - m_stepFrom >= (m_isSeenGood ? stepLength : blindStepLength)) {
        m_rate *= 2;
        m_isSeenGood = false;
        m_stepFrom = now;
    }
    m_isRamping = m_rate < reachedFraction * ceiling || now - m_since < minLength;
    return !m_isRamping;
}

} // namespace appleramp
