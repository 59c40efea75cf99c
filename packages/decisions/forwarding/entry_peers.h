#pragma once

#include "model/endpoint_news.h"
#include "model/time.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace appleramp {

struct peer_settings {
    // An entry that was silent for so long is left out of the addresses that callers are given.
    duration silentAfter = std::chrono::milliseconds(2200);
    // An entry that was heard within this time still counts when shares of a budget are worked out.
    duration countedFor = std::chrono::seconds(15);
    // Entries that are assumed until a process has listened for some time.
    std::size_t assumedEntries = 16;
    duration listenFor = std::chrono::seconds(4);
};

// The other entries, as their presence messages show them.
class entry_peers {
public:
    entry_peers(instant startedAt, peer_settings settings);

    // Returns true if the peer was unknown or silent before.
    bool heard(instant now, const entry_presence& presence);
    // Entries that the store lists, whether they are heard or not.
    void noteListed(std::size_t entries) { m_listed = entries; }
    // Addresses for callers in a zone: those that serve, the caller's zone first.
    std::vector<std::string> callerAddresses(instant now, const entry_presence& self, const availability_zone_id& zone) const;
    // Entries among which shared budgets are divided, this one included. Errs upwards.
    std::size_t sharers(instant now) const;

private:
    struct peer {
        entry_presence presence;
        instant heardAt;
    };

    instant m_startedAt;
    peer_settings m_settings;
    std::size_t m_listed = 0;
    std::map<std::string, peer> m_peers;
};

} // namespace appleramp
