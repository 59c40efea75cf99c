#pragma once

#include "model/configuration.h"
#include "model/events.h"
#include "model/messages.h"

#include <map>
#include <optional>
#include <set>

namespace appleramp {

// What an entry knows about one endpoint from the link to its agent.
struct linked_endpoint {
    link_number link = 0;
    instance_id instance;
    availability_zone_id zone;
    incarnation agentLife = 0;
    endpoint_description description;
    // The current grant; it expires at `grantExpiresAt`.
    std::uint32_t slots = 0;
    std::uint64_t grantSequence = 0;
    instant grantExpiresAt;
    duration expectedWait {};
    bool cold = false;
    // Attempts of this entry that occupy a slot.
    std::uint32_t inFlight = 0;
    // The last demand sent. The agent takes the grant sequence in it as acknowledged.
    slot_demand demand;

    bool hasFreeSlot(instant now) const { return now < grantExpiresAt && inFlight < slots; }
    bool differsFromSent(const slot_demand& next) const
    {
        return next.waiting != demand.waiting || next.spare != demand.spare;
    }
};

// True if neither the endpoint's zone nor its instance is out of service.
bool isInService(const linked_endpoint& endpoint, const fleet_configuration& configuration);

// Indexes the endpoints that this entry has links to by service, and selects one for each request. request_router takes
// and returns the slots.
class endpoint_directory {
public:
    void add(link_number link, incarnation agentLife, const hello& greeting);
    void remove(link_number link);
    // Applies a grant. One that is not newer than the current one is ignored.
    void applyGrant(link_number link, const slot_grant& grant, instant now);

    // Increases whenever an endpoint is added or removed.
    std::uint64_t membershipVersion() const { return m_membershipVersion; }
    // Links whose grant was reduced since the last demand, so that the reduction is not acknowledged yet.
    const std::set<link_number>& shrunkGrantLinks() const { return m_shrunkGrantLinks; }
    // Stores the demand that was sent on this link; it acknowledges a reduced grant.
    void recordDemand(link_number link, const slot_demand& demand);

    bool serves(const service_id& service) const { return m_byService.contains(service); }
    const linked_endpoint* find(link_number link) const;
    // The endpoint linked to this incarnation of an agent; null if there is no such link.
    const linked_endpoint* findAgent(const instance_id& instance, incarnation life) const;
    // True if a newer incarnation of this agent is linked and this one is not.
    bool isReplaced(const instance_id& instance, incarnation life) const;
    std::set<link_number> linksServing(const service_id& service) const;
    const std::map<link_number, linked_endpoint>& all() const { return m_endpoints; }

    // Selects the endpoint for a request: in service, with a free slot and the adapter, and with the least cost by load and
    // zone.
    std::optional<link_number> choose(const service_request& request, const availability_zone_id& preferred,
        const std::set<link_number>& excluded, const fleet_configuration& configuration, instant now) const;

    // Selects the endpoint for a request that must run alone. All entries that are linked to it select the same one, so that
    // the requests that were running when an endpoint crashed do not block many other endpoints.
    std::optional<link_number> chooseForExclusive(const service_request& request, const std::set<link_number>& excluded,
        const fleet_configuration& configuration) const;

    void takeSlot(link_number link);
    void returnSlot(link_number link);

private:
    void removeAgent(const linked_endpoint& endpoint);

    std::map<link_number, linked_endpoint> m_endpoints;
    std::map<service_id, std::set<link_number>> m_byService;
    std::map<instance_id, std::map<incarnation, link_number>> m_byAgent;
    std::uint64_t m_membershipVersion = 0;
    std::set<link_number> m_shrunkGrantLinks;
};

} // namespace appleramp
