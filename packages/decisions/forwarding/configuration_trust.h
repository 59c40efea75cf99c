#pragma once

#include "model/identifiers.h"
#include "model/time.h"

#include <optional>

namespace appleramp {

// Decides whether a read of the store confirms the configuration in force.
//
// A store that came back from an older copy holds an older configuration for a while. A process that was running keeps the
// newer one, but what it reads does not confirm it. A process that starts in that time knows only the older one, so it asks
// its peers which version they know before it relies on the store.
class configuration_trust {
public:
    // A read returned that version while `inForce` was in force.
    void onStoreVersion(configuration_version read, configuration_version inForce) { m_storeIsBehind = read < inForce; }
    void onPeerVersion(configuration_version version);
    // The member rows were read. Peers, if any, answer the first presence message at once.
    void onMembersKnown(instant now, bool hasPeers);
    bool allowsConfirmation(instant now, configuration_version inForce) const;

    // Time for the peers to answer the presence message of a starting process.
    static constexpr duration peerAnswerTime = std::chrono::milliseconds(400);

private:
    bool m_storeIsBehind = false;
    configuration_version m_newestAtPeers = 0;
    std::optional<instant> m_peersKnownAt;
};

} // namespace appleramp
