#include "decisions/forwarding/brief_outage.h"

namespace appleramp {

void brief_outage::recordRejection(instant now)
{
    if (m_consecutiveRejections++ == 0)
        m_firstRejectionAt = now;
    // The rejected attempt counts as a probe.
    m_lastProbeAt = now;
}

bool brief_outage::shouldWait(instant now)
{
    if (m_consecutiveRejections < rejectionThreshold || now - m_firstRejectionAt >= maxDuration)
        return false;
    if (now - m_lastProbeAt < probeInterval)
        return true;
    m_lastProbeAt = now;
    return false;
}

} // namespace appleramp
