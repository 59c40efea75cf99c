#pragma once

#include "model/identifiers.h"
#include "model/time.h"

#include <cstddef>
#include <map>
#include <optional>

namespace appleramp {

// How the endpoints of one zone serve a service, as one entry sees them.
struct zone_state {
    // Expected time to the first event relative to the latency target, as a mean over the endpoints; above 1 requests are late.
    double pressure = 0;
    // Endpoints that take requests now.
    std::size_t endpoints = 0;
};

using zone_states = std::map<availability_zone_id, zone_state>;

// Decides which part of an entry's requests for one service may go to other zones.
//
// All stay while the own zone serves them in time. Beyond that the part grows with the pressure, and is divided among the zones
// with less pressure by their endpoints and by how much less it is. Reports are old and all entries of a zone see the same ones, so
// shares change in steps of a tenth at least, and at most once in changeInterval.
class zone_spill {
public:
    // Returns true if the shares have changed.
    bool update(instant now, const availability_zone_id& own, const zone_states& zones);
    bool isDue(instant now) const { return !m_updatedAt || now - *m_updatedAt >= changeInterval; }
    // The other zone to which a request may go; none if it stays. The random fraction in [0, 1) draws it.
    std::optional<availability_zone_id> otherZone(double randomFraction) const;
    // Parts of the requests by zone, without the own one.
    const std::map<availability_zone_id, double>& shares() const { return m_shares; }

    static constexpr duration changeInterval = std::chrono::milliseconds(500);
    static constexpr double hysteresis = 0.1;
    // Pressure from which requests may leave the zone. Times are spread around their mean, which must stay below the target.
    static constexpr double pressureLimit = 0.75;

private:
    std::optional<instant> m_updatedAt;
    std::map<availability_zone_id, double> m_shares;
};

} // namespace appleramp
