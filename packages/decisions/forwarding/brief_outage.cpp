#include "decisions/forwarding/brief_outage.h"

namespace appleramp {

void brief_outage::noteRejected(instant now)
{
    if (m_rejected++ == 0)
        m_since = now;
    // What was just rejected has shown it.
    m_probedAt = now;
}

bool brief_outage::shouldWait(instant now)
{
    if (m_rejected < rejectedFrom || now - m_since >= briefFor)
        return false;
    if (now - m_probedAt < probeInterval)
        return true;
    m_probedAt = now;
    return false;
}

} // namespace appleramp
