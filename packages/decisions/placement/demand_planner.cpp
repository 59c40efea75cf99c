#include "decisions/placement/demand_planner.h"

#include "decisions/configuration/configuration_register.h"
#include "decisions/placement/endpoint_directory.h"

namespace appleramp {

namespace {

// Agents take an entry that is silent for a few of these as gone.
constexpr duration demandInterval = std::chrono::milliseconds(500);
// A service that was asked for within this time has idle slots held for it.
constexpr duration recentUse = std::chrono::seconds(10);
constexpr std::uint32_t spareSlots = 1;

} // namespace

void demand_planner::plan(const entry_context& context, const waiting_counts& waiting)
{
    const bool isRound = context.now >= m_nextRound;
    const auto grants = context.endpoints.grantChanges();
    const auto version = context.configuration.version();
    if (!isRound && waiting == m_planned && grants == m_plannedGrants && version == m_plannedConfiguration)
        return;
    m_planned = waiting;
    m_plannedGrants = grants;
    m_plannedConfiguration = version;
    if (isRound)
        m_nextRound = context.now + demandInterval;
    for (const auto& [link, endpoint] : context.endpoints.all()) {
        // A service that has just come is likely to be asked for.
        for (const auto& service : endpoint.description.services)
            m_lastUse.try_emplace(service, context.now);
        const auto demand = demandAt(context, link, waiting);
        if (!isRound && !endpoint.owesAnswerTo(demand))
            continue;
        context.endpoints.demanded(link, demand);
        context.send(link, demand);
    }
}

slot_demand demand_planner::demandAt(const entry_context& context, link_number link,
    const waiting_counts& waiting) const
{
    const auto& endpoint = *context.endpoints.find(link);
    slot_demand demand;
    demand.grantSequence = endpoint.grantSequence;
    if (!isInService(endpoint, context.configuration.current()))
        return demand;
    for (const auto& service : endpoint.description.services) {
        const auto count = waiting.find(service);
        const auto others = static_cast<std::uint32_t>(context.endpoints.countServing(service));
        if (count != waiting.end())
            demand.waiting += (count->second + others - 1) / others;
        const auto used = m_lastUse.find(service);
        if (used != m_lastUse.end() && context.now < used->second + recentUse)
            demand.spare = spareSlots;
    }
    return demand;
}

} // namespace appleramp
