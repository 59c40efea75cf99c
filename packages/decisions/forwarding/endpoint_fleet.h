#pragma once

#include "decisions/forwarding/arrival_rate.h"
#include "decisions/forwarding/attempt_ending.h"
#include "model/endpoint_news.h"
#include "model/routing.h"
#include "model/time.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace appleramp {

struct fleet_settings {
    // Requests per second at a cold endpoint from all entries: its rate times this factor, plus the constant.
    double coldFactor = 1.5;
    double coldConstant = 5;
    // Part of that bound that is used, since entries count their seconds apart.
    double coldUse = 0.6;
    // Endpoints that one placement compares, drawn at random: where all entries compared all endpoints by reports of some
    // age, they would all choose the same one.
    std::size_t compared = 6;
    // Records that lapsed while the registry was away are believed gone only after this time from its return.
    duration lapseGrace = std::chrono::milliseconds(1900);
};

struct placement_query {
    instant now;
    service_id service;
    availability_zone_id zone;
    // Entries that share the rate of a cold endpoint.
    std::size_t sharers = 1;
    std::span<const endpoint_id> excluded;
    // The rate that a cold endpoint of this service bears; zero if it bears all.
    double coldRequestsPerSecond = 0;
    // In [0, 1): breaks ties.
    double point = 0;
};

struct placement {
    endpoint_id endpoint;
    std::string address;
    std::uint32_t slots = 1;
    // Requests there, running and waiting, as far as known.
    double load = 0;
    // Age of the load report; negative if there is none.
    duration reportAge {};
};

// Why no endpoint was found.
enum class placement_obstacle {
    NoEndpoint,
    AllUnavailable,
    AllAtColdRate,
};

// The endpoints of all services, with what this entry knows of their load and health.
class endpoint_fleet {
public:
    explicit endpoint_fleet(fleet_settings settings);

    void list(instant now, const endpoint_record& record);
    // The registry names it no more; where the registry was away shortly before, it is used for a grace period.
    void unlist(instant now, const endpoint_id& endpoint);
    // What a whole read of the registry named.
    void listOnly(instant now, std::span<const endpoint_record> records);
    void registryAway(instant now);
    void registryBack(instant now);
    void setZonesOut(std::set<availability_zone_id> zones);
    bool isZoneOut(const availability_zone_id& zone) const { return m_zonesOut.contains(zone); }
    // Takes lapsed endpoints out whose grace period is over.
    std::vector<endpoint_id> expireLapsed(instant now);

    // Says how an engine stood `ago` before now.
    void noteLoad(instant now, const endpoint_load& load);

    std::optional<placement> choose(const placement_query& query);
    placement_obstacle obstacle(const service_id& service) const;
    void noteSent(instant now, const endpoint_id& endpoint);
    // An attempt is over, with a whole answer or by an ending.
    void noteAnswered(instant now, const endpoint_id& endpoint, duration took);
    void noteEnded(instant now, const endpoint_id& endpoint, attempt_ending ending);
    // An attempt was cancelled since the caller left.
    void noteCancelled(const endpoint_id& endpoint);

    // How long an answer of the service takes at present.
    duration occupancy(const service_id& service) const;
    // Another endpoint of the service reports that it is not slow.
    bool hasFasterEndpoint(instant now, const service_id& service, const endpoint_id& endpoint) const;
    // Requests running and waiting relative to the slots, over the endpoints that tell; zero if none does.
    double fill(instant now, const service_id& service) const;
    // Requests that this entry has sent there and that are not over.
    std::size_t inFlight(const service_id& service) const;
    bool knows(const endpoint_id& endpoint) const { return m_endpoints.contains(endpoint); }
    std::size_t size() const { return m_endpoints.size(); }
    // The latest one there.
    std::optional<endpoint_id> atAddress(std::string_view address) const;

private:
    struct endpoint_state {
        endpoint_record record;
        instant listedAt;
        std::optional<instant> lapsedAt;
        std::uint32_t inFlight = 0;
        arrival_rate sends { std::chrono::seconds(1) };
        instant lastSend;
        instant avoidUntil;
        std::uint32_t refusedConnections = 0;
        // Decayed share of attempts that broke down.
        double failures = 0;
        instant failuresAt;
        // Mean time of an answer.
        double answerSeconds = 0;
        std::optional<endpoint_load> report;
        instant reportedAt;
        std::uint32_t sentSinceReport = 0;
    };
    struct service_state {
        double answerSeconds = 0;
        double failures = 0;
    };

    endpoint_state* find(const endpoint_id& endpoint);
    void erase(const endpoint_id& endpoint);
    // Another endpoint has started at its address since: it is gone, though the registry still lists it.
    bool isReplaced(const endpoint_state& state) const;
    bool usable(const endpoint_state& state, const placement_query& query) const;
    bool withinColdRate(endpoint_state& state, const placement_query& query) const;
    std::vector<endpoint_state*> candidates(const placement_query& query);
    double load(const endpoint_state& state, instant now, std::size_t sharers) const;
    double cost(const endpoint_state& state, const placement_query& query) const;
    double slowness(const endpoint_state& state, instant now) const;
    double failuresNow(const endpoint_state& state, instant now) const;
    void addOutcome(endpoint_state& state, instant now, double failure);
    bool hasReport(const endpoint_state& state, instant now) const;

    fleet_settings m_settings;
    std::map<endpoint_id, endpoint_state> m_endpoints;
    std::map<std::string, std::set<endpoint_id>, std::less<>> m_byAddress;
    std::map<service_id, service_state> m_services;
    std::set<availability_zone_id> m_zonesOut;
    bool m_registryAway = false;
    std::optional<instant> m_registryBackAt;
};

} // namespace appleramp
