#pragma once

#include "model/configuration.h"
#include "model/events.h"
#include "model/messages.h"

#include <map>
#include <optional>
#include <set>

namespace appleramp {

// What an entry knows of one endpoint through the link to its agent.
struct linked_endpoint {
    link_number link = 0;
    instance_id instance;
    availability_zone_id zone;
    incarnation agentLife = 0;
    endpoint_description description;
    // The grant in force; it lapses at `grantEnds`.
    std::uint32_t slots = 0;
    std::uint64_t grantSequence = 0;
    instant grantEnds;
    duration expectedWait {};
    bool cold = false;
    // Attempts of this entry that hold a slot.
    std::uint32_t inFlight = 0;
    // The demand that was sent last; its agent may rest on the grant named there.
    slot_demand demand;

    bool hasFreeSlot(instant now) const { return now < grantEnds && inFlight < slots; }
    bool hasChanged(const slot_demand& next) const
    {
        return next.waiting != demand.waiting || next.spare != demand.spare;
    }
};

// True if neither the endpoint's zone nor its instance is out of service.
bool isInService(const linked_endpoint& endpoint, const fleet_configuration& configuration);

// The endpoints that this entry is linked to, by service, and the choice among them. Works with request_router,
// which takes and returns slots.
class endpoint_directory {
public:
    void add(link_number link, incarnation agentLife, const hello& greeting);
    void remove(link_number link);
    // An older grant than the one in force is ignored.
    void grant(link_number link, const slot_grant& grant, instant now);

    // Rises whenever an endpoint has come or gone.
    std::uint64_t membershipChanges() const { return m_membershipChanges; }
    // Links whose grant has shrunk since their agent was last told.
    const std::set<link_number>& cutLinks() const { return m_cutLinks; }
    void demanded(link_number link, const slot_demand& demand);

    bool serves(const service_id& service) const { return m_byService.contains(service); }
    const linked_endpoint* find(link_number link) const;
    // The link to this life of an agent, if it is open.
    const linked_endpoint* findAgent(const instance_id& instance, incarnation life) const;
    // True if another life of this agent is linked and this one is not.
    bool isReplaced(const instance_id& instance, incarnation life) const;
    std::set<link_number> linksServing(const service_id& service) const;
    const std::map<link_number, linked_endpoint>& all() const { return m_endpoints; }

    // The endpoint that a request should go to: in service, with a free slot, and the least cost by load, zone and
    // cached prefix.
    std::optional<link_number> choose(const service_request& request, const availability_zone_id& preferred,
        const std::set<link_number>& excluded, const fleet_configuration& configuration, instant now) const;

    // The endpoint where a request should run alone: the same for all entries that are linked to it, so that the requests
    // that were running when an endpoint crashed do not empty many others.
    std::optional<link_number> chooseAlone(const service_request& request, const std::set<link_number>& excluded,
        const fleet_configuration& configuration) const;

    void takeSlot(link_number link);
    void returnSlot(link_number link);

private:
    void removeAgent(const linked_endpoint& endpoint);

    std::map<link_number, linked_endpoint> m_endpoints;
    std::map<service_id, std::set<link_number>> m_byService;
    std::map<instance_id, std::map<incarnation, link_number>> m_byAgent;
    std::uint64_t m_membershipChanges = 0;
    std::set<link_number> m_cutLinks;
};

} // namespace appleramp
