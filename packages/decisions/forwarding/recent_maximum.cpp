#include "decisions/forwarding/recent_maximum.h"

#include <algorithm>
#include <utility>

namespace appleramp {

void recent_maximum::record(instant now, duration value)
{
    advance(now);
    m_current = std::max(m_current, value);
}

duration recent_maximum::value(instant now)
{
    advance(now);
    return std::max(m_current, m_previous);
}

void recent_maximum::advance(instant now)
{
    if (now - m_windowStart < m_window)
        return;
    const bool isNext = now - m_windowStart < 2 * m_window;
    m_previous = isNext ? m_current : duration::zero();
    m_current = duration::zero();
    m_windowStart += m_window * ((now - m_windowStart) / m_window);
}

} // namespace appleramp
