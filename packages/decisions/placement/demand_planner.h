#pragma once

#include "decisions/entry/entry_context.h"

#include <map>
#include <set>

namespace appleramp {

// Requests of each service that wait at this entry.
using waiting_counts = std::map<service_id, std::uint32_t>;

// Tells agents how many slots this entry wants. Works with endpoint_directory, which knows what was granted, and
// request_router, which knows what waits.
class demand_planner {
public:
    // A request of this service came.
    void used(const service_id& service, instant now) { m_lastUse[service] = now; }
    // Sends demands that have changed, acknowledge a smaller grant, or are due again.
    void plan(const entry_context& context, const waiting_counts& waiting);

private:
    slot_demand demandAt(const entry_context& context, link_number link, const waiting_counts& waiting) const;

    std::map<service_id, instant> m_lastUse;
    waiting_counts m_planned;
    std::uint64_t m_plannedGrants = 0;
    configuration_version m_plannedConfiguration = 0;
    instant m_nextRound;
};

} // namespace appleramp
