#pragma once

#include "decisions/entry/entry_context.h"

#include <map>
#include <set>

namespace appleramp {

// Requests of each service that wait at this entry.
using waiting_counts = std::map<service_id, std::uint32_t>;

// Tells agents how many slots this entry wants. It asks a bounded number of a service's endpoints, chosen evenly over
// entries, so that a queued request does not cost a message to each endpoint of the fleet. Works with
// endpoint_directory, which knows what was granted, and request_router, which knows what waits.
class demand_planner {
public:
    // A request of this service came.
    void used(const service_id& service, instant now) { m_lastUse[service] = now; }
    // Sends demands that have changed, acknowledge a smaller grant, or are due again.
    void plan(const entry_context& context, const waiting_counts& waiting);

private:
    bool chooseAgain(const entry_context& context);
    std::set<link_number> concerned(const entry_context& context, const waiting_counts& waiting) const;
    void tell(const entry_context& context, link_number link, const waiting_counts& waiting, bool always);
    slot_demand demandAt(const entry_context& context, link_number link, const waiting_counts& waiting) const;

    std::map<service_id, instant> m_lastUse;
    // The endpoints that are asked for each service.
    std::map<service_id, std::set<link_number>> m_asked;
    std::uint64_t m_chosenMembership = 0;
    configuration_version m_chosenConfiguration = 0;
    waiting_counts m_planned;
    instant m_nextRound;
};

} // namespace appleramp
