#pragma once

#include "decisions/fleet/fleet_world.h"

// What the parts of fleet_world share.

namespace appleramp::tests {

const service_id fleetService("service");
constexpr std::uint32_t engineSlots = 12;
// Changes of the registry and of the operator reach the entries that much later.
constexpr duration feedDelay = std::chrono::milliseconds(450);
// An engine is cold for that long after its start.
constexpr duration coldTime = std::chrono::seconds(3);
// A rejection or a refused connection comes that much later.
constexpr duration refusalDelay = std::chrono::milliseconds(1);

inline availability_zone_id zoneOf(std::size_t number) { return availability_zone_id("zone-" + std::to_string(number)); }
inline std::string nameOfEntry(std::size_t entry) { return "entry-" + std::to_string(entry); }
inline endpoint_id idOfStart(std::uint64_t start) { return endpoint_id("i-" + std::to_string(start)); }

struct fleet_world::entry_state {
    std::unique_ptr<forwarding_reducer> reducer;
    std::uint64_t life = 0;
    instant frozenUntil;
    instant cutUntil;
    // Excused until then: it restarted, froze or was cut off.
    instant disturbedUntil;
    instant presenceToldAt;
    // What answers told this life of the entry, by start of an engine.
    std::map<std::uint64_t, instant> toldLeaving;
    std::map<std::uint64_t, instant> toldLimit;
    struct pause {
        instant from;
        instant until;
        std::size_t requests = 0;
    };
    std::map<std::uint64_t, pause> pauses;
    std::map<request_number, std::uint64_t> attempts;
};

struct fleet_world::engine_state {
    std::size_t number = 0;
    bool isUp = true;
    bool isLeaving = false;
    std::uint64_t start = 0;
    instant startedAt;
    instant coldUntil;
    instant pausedUntil;
    double limit = 0;
    instant limitedFrom;
    instant limitedUntil;
    std::uint32_t running = 0;
    struct arrival {
        instant when;
        bool isTold = false;
    };
    std::vector<arrival> arrivals;

    std::string address() const { return "10.0.0." + std::to_string(number) + ":80"; }
    endpoint_id id() const { return idOfStart(start); }
    availability_zone_id zone(std::size_t zones) const { return zoneOf(number % zones); }
    bool isNaming(instant now) const { return now >= limitedFrom && now < limitedUntil; }
};

// What crashes engines: a request, or a part of prompts.
struct fleet_world::crash_cause {
    std::uint64_t id = 0;
    bool isPart = false;
    std::vector<instant> deaths;
    std::size_t lateSends = 0;
};

struct fleet_world::request_record {
    instant when;
    std::optional<std::size_t> cause;
    bool mayRepeat = false;
    std::size_t arrivals = 0;
    std::size_t runs = 0;
    bool isServed = false;
    bool isSaidNotRun = false;
    instant deadline;
};

} // namespace appleramp::tests
