#include "decisions/forwarding/arrival_rate.h"

namespace appleramp {

void arrival_rate::note(instant now) { m_sends.push_back(now); }

std::size_t arrival_rate::count(instant now)
{
    while (!m_sends.empty() && m_sends.front() + m_window <= now)
        m_sends.pop_front();
    return m_sends.size();
}

} // namespace appleramp
