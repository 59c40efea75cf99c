#pragma once

#include "schedules/schedule_world.h"

#include <map>
#include <string>

namespace appleramp::tests {

// Operators that change the configuration and take zones out and in. Checks that accepted changes stay in the table,
// and that a zone that was taken out gets no new work after 3 seconds.
class fake_operators {
public:
    explicit fake_operators(schedule_world& world);

    // Sends a change to random entries with the same change id until it is accepted, a bounded number of times.
    void change(const configuration_change& change);
    void takeZoneOut(const availability_zone_id& zone);
    void takeZoneIn(const availability_zone_id& zone);
    // Checks at the end of a schedule that each accepted change is in the table.
    void checkAccepted();

private:
    struct accepted {
        std::string changeId;
        configuration_version version = 0;
    };

    void send(const std::string& changeId, const configuration_change& change, int tries,
        const std::function<void(configuration_version)>& onAccepted);
    void checkZoneWork(std::size_t agent);

    schedule_world& m_world;
    std::uint64_t m_lastChange = 0;
    std::vector<accepted> m_accepted;
    // State of a zone by the accepted change with the highest version.
    struct zone_state {
        configuration_version version = 0;
        bool isOut = false;
        instant since;
        // Unconfirmed changes that take the zone in; they may already be committed.
        int pendingIns = 0;
    };

    void recordZoneState(const availability_zone_id& zone, bool isOut, configuration_version version);

    std::map<availability_zone_id, zone_state> m_zones;
};

} // namespace appleramp::tests
