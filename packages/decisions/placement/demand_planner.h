#pragma once

#include "decisions/entry/entry_context.h"

#include <map>
#include <set>

namespace appleramp {

// Number of requests that wait at this entry, by service.
using queued_counts = std::map<service_id, std::uint32_t>;

// Sends slot demands to agents. It selects a bounded number of each service's endpoints, by rendezvous hashing so that
// entries spread evenly over them; a queued request therefore does not cost a message to every endpoint of the fleet.
// endpoint_directory holds the grants and request_router the waiting requests.
class demand_planner {
public:
    // Records a request of this service, so that spare slots are kept for it.
    void recordUse(const service_id& service, instant now) { m_lastUse[service] = now; }
    // Sends each demand that has changed, that acknowledges a smaller grant, or whose refresh is due.
    void sendDemands(const entry_context& context, const queued_counts& waiting);

private:
    bool reselectEndpoints(const entry_context& context);
    std::set<link_number> linksToUpdate(const entry_context& context, const queued_counts& waiting) const;
    void sendDemandIfDue(const entry_context& context, link_number link, const queued_counts& waiting, bool force);
    slot_demand demandFor(const entry_context& context, link_number link, const queued_counts& waiting) const;

    std::map<service_id, instant> m_lastUse;
    // The endpoints that get demands for each service.
    std::map<service_id, std::set<link_number>> m_selected;
    std::uint64_t m_selectedMembership = 0;
    configuration_version m_selectedConfiguration = 0;
    queued_counts m_lastWaiting;
    instant m_nextRefresh;
};

} // namespace appleramp
