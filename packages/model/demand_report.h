#pragma once

#include "model/identifiers.h"
#include "model/time.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace appleramp {

// Urgency ranks that are told apart where a service's capacity is shared; less urgent ones count as the last of them.
constexpr std::size_t sharedRanks = 8;
// Teams of which a report states the demand.
constexpr std::size_t reportedTeams = 8;

// Requests of one urgency rank at a service.
struct rank_load {
    std::uint8_t rank = 0;
    // Slots that the requests that arrive would occupy, in thousandths.
    std::uint32_t offeredMilliSlots = 0;
    std::uint32_t inFlight = 0;
    std::uint32_t waiting = 0;

    bool operator==(const rank_load&) const = default;
};

struct team_load {
    std::uint8_t rank = 0;
    // Hash of the team's name.
    std::uint32_t team = 0;
    std::uint32_t offeredMilliSlots = 0;

    bool operator==(const team_load&) const = default;
};

// What the callers of one entry, or of all entries of a zone, ask of a service.
struct demand_report {
    // The entry that made the report.
    instance_id sender;
    availability_zone_id zone;
    // True if the report sums up the zone's entries, as the zone's reader knows them.
    bool isZoneSum = false;
    // Number of entries whose demand the report holds.
    std::uint32_t entries = 1;
    // Rises with each report of the sender.
    std::uint64_t sequence = 0;
    service_id service;
    std::vector<rank_load> ranks;
    std::vector<team_load> teams;

    bool operator==(const demand_report&) const = default;
};

} // namespace appleramp
