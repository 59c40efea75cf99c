#include "decisions/forwarding/sliding_window_counter.h"

namespace appleramp {

void sliding_window_counter::record(instant now) { m_events.push_back(now); }

std::size_t sliding_window_counter::count(instant now)
{
    while (!m_events.empty() && m_events.front() + m_window <= now)
        m_events.pop_front();
    return m_events.size();
}

} // namespace appleramp
