#pragma once

#include "schedules/schedule_world.h"

#include <map>
#include <string>

namespace appleramp::tests {

// Operators who change the configuration and take zones out and in. They check that what was accepted stays in the
// table, and that a zone taken out gets no new work after a few seconds.
class fake_operators {
public:
    explicit fake_operators(schedule_world& world);

    // Sends a change to an entry, again and again under the same change id until it is accepted or refused by conflict.
    void change(const configuration_change& change);
    void takeZoneOut(const availability_zone_id& zone);
    void takeZoneIn(const availability_zone_id& zone);
    // At the end: each accepted change stands in the table.
    void checkAccepted();

private:
    struct accepted {
        std::string changeId;
        configuration_version version = 0;
    };

    void send(const std::string& changeId, const configuration_change& change, int tries,
        const std::function<void(configuration_version)>& onAccepted);
    void workGiven(std::size_t agent);

    schedule_world& m_world;
    std::uint64_t m_lastChange = 0;
    std::vector<accepted> m_accepted;
    // When the zone was last accepted as out; absent while it is in or an operator is taking it in.
    // The zone's state by the highest version that was accepted.
    struct zone_state {
        configuration_version version = 0;
        bool isOut = false;
        instant since;
        // Changes that take it in and may have been committed without the operator's knowledge.
        int pendingIns = 0;
    };

    void zoneAccepted(const availability_zone_id& zone, bool isOut, configuration_version version);

    std::map<availability_zone_id, zone_state> m_zones;
};

} // namespace appleramp::tests
