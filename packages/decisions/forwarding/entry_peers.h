#pragma once

#include "model/endpoint_news.h"
#include "model/time.h"

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace appleramp {

struct peer_settings {
    // An entry without a presence message for this long is omitted from the addresses given to callers.
    duration silenceTimeout = std::chrono::milliseconds(2200);
    // An entry that sent a presence message within this time still counts when budgets are divided.
    duration countingWindow = std::chrono::seconds(15);
    // Least number of entries assumed during the discovery period.
    std::size_t initialEntryEstimate = 16;
    // Time after the start of the process within which the presence messages of all entries are expected.
    duration discoveryPeriod = std::chrono::seconds(4);
    // Callers read no more addresses of an answer than this.
    std::size_t maxAddresses = 64;
};

// Tracks the other entries by their presence messages.
class entry_peers {
public:
    entry_peers(instant startedAt, peer_settings settings);

    // Returns true if the peer was unknown or had exceeded the silence timeout.
    bool recordPresence(instant now, const entry_presence& presence);
    // Entries of the zone that were heard lately, with the time since.
    std::vector<relayed_presence> heardIn(instant now, const availability_zone_id& zone) const;
    // Names of the other entries that were heard within that time, by zone.
    std::map<availability_zone_id, std::set<instance_id>> heardWithin(instant now, duration time) const;
    // Sets the number of entries that the store lists, whether or not their presence messages arrive.
    void setListedEntries(std::size_t entries) { m_listedEntries = entries; }
    // Addresses of the entries that serve callers, those in the caller's zone first. If there are more than `maxAddresses`,
    // the answer holds a part of the others, which differs between the entries that answer.
    std::vector<std::string> callerAddresses(instant now, const entry_presence& self, const availability_zone_id& zone) const;
    // Number of entries among which shared budgets are divided, including this one. Overestimated rather than
    // underestimated, so that the shares do not add up to more than the budget.
    std::size_t entryCount(instant now) const;

private:
    struct peer {
        entry_presence presence;
        instant heardAt;
    };

    instant m_startedAt;
    peer_settings m_settings;
    std::size_t m_listedEntries = 0;
    std::map<std::string, peer> m_peers;
};

} // namespace appleramp
