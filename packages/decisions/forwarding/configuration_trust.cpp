#include "decisions/forwarding/configuration_trust.h"

#include <algorithm>

namespace appleramp {

void configuration_trust::onPeerVersion(configuration_version version) { m_newestAtPeers = std::max(m_newestAtPeers, version); }

void configuration_trust::onMembersKnown(instant now, bool hasPeers)
{
    if (!m_peersKnownAt)
        m_peersKnownAt = hasPeers ? now + peerAnswerTime : now;
}

bool configuration_trust::allowsConfirmation(instant now, configuration_version inForce) const
{
    return !m_storeIsBehind && inForce >= m_newestAtPeers && m_peersKnownAt && now >= *m_peersKnownAt;
}

} // namespace appleramp
