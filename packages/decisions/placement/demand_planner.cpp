#include "decisions/placement/demand_planner.h"

#include "decisions/configuration/configuration_register.h"
#include "decisions/membership/rendezvous.h"
#include "decisions/placement/endpoint_directory.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace appleramp {

namespace {

// Agents stop granting to an entry that is silent for several of these intervals.
constexpr duration demandRefreshInterval = std::chrono::milliseconds(500);
// Spare slots are requested for a service for this long after its last request.
constexpr duration spareSlotTime = std::chrono::seconds(10);
constexpr std::uint32_t spareSlots = 1;
// How many endpoints of one service an entry sends demands to.
constexpr std::size_t maxEndpointsPerService = 16;

std::uint64_t score(const entry_identity& self, const linked_endpoint& endpoint)
{
    return rendezvousScore(self.instance.view(), endpoint.instance.view());
}

} // namespace

void demand_planner::sendDemands(const entry_context& context, const queued_counts& waiting)
{
    const bool refreshDue = context.now >= m_nextRefresh;
    const bool selectionChanged = reselectEndpoints(context);
    if (refreshDue)
        m_nextRefresh = context.now + demandRefreshInterval;
    if (refreshDue || selectionChanged) {
        for (const auto& [link, endpoint] : context.endpoints.all())
            sendDemandIfDue(context, link, waiting, refreshDue);
    } else if (waiting != m_lastWaiting || !context.endpoints.shrunkGrantLinks().empty()) {
        for (const auto link : linksToUpdate(context, waiting))
            sendDemandIfDue(context, link, waiting, false);
    }
    m_lastWaiting = waiting;
}

bool demand_planner::reselectEndpoints(const entry_context& context)
{
    const auto membership = context.endpoints.membershipVersion();
    const auto version = context.configuration.version();
    if (membership == m_selectedMembership && version == m_selectedConfiguration)
        return false;
    m_selectedMembership = membership;
    m_selectedConfiguration = version;
    std::map<service_id, std::vector<std::pair<std::uint64_t, link_number>>> ranked;
    for (const auto& [link, endpoint] : context.endpoints.all()) {
        if (!isInService(endpoint, context.configuration.current()))
            continue;
        for (const auto& service : endpoint.description.services) {
            ranked[service].emplace_back(score(context.identity, endpoint), link);
            // Requests are likely for a service that has just become available.
            m_lastUse.try_emplace(service, context.now);
        }
    }
    m_selected.clear();
    for (auto& [service, endpoints] : ranked) {
        std::sort(endpoints.begin(), endpoints.end());
        for (std::size_t index = 0; index < std::min(maxEndpointsPerService, endpoints.size()); ++index)
            m_selected[service].insert(endpoints[index].second);
    }
    return true;
}

std::set<link_number> demand_planner::linksToUpdate(const entry_context& context, const queued_counts& waiting) const
{
    auto links = context.endpoints.shrunkGrantLinks();
    for (const auto& [service, selected] : m_selected) {
        const auto current = waiting.find(service);
        const auto previous = m_lastWaiting.find(service);
        const auto count = current == waiting.end() ? 0 : current->second;
        const auto previousCount = previous == m_lastWaiting.end() ? 0 : previous->second;
        if (count != previousCount)
            links.insert(selected.begin(), selected.end());
    }
    return links;
}

void demand_planner::sendDemandIfDue(const entry_context& context, link_number link, const queued_counts& waiting, bool force)
{
    const auto demand = demandFor(context, link, waiting);
    const bool isDue = force || context.endpoints.shrunkGrantLinks().contains(link);
    if (!isDue && !context.endpoints.find(link)->differsFromSent(demand))
        return;
    context.endpoints.recordDemand(link, demand);
    context.send(link, demand);
}

slot_demand demand_planner::demandFor(const entry_context& context, link_number link,
    const queued_counts& waiting) const
{
    const auto& endpoint = *context.endpoints.find(link);
    slot_demand demand;
    demand.grantSequence = endpoint.grantSequence;
    for (const auto& service : endpoint.description.services) {
        const auto selected = m_selected.find(service);
        if (selected == m_selected.end() || !selected->second.contains(link))
            continue;
        const auto count = waiting.find(service);
        const auto selectedCount = static_cast<std::uint32_t>(selected->second.size());
        if (count != waiting.end())
            demand.waiting += (count->second + selectedCount - 1) / selectedCount;
        const auto used = m_lastUse.find(service);
        if (used != m_lastUse.end() && context.now < used->second + spareSlotTime)
            demand.spare = spareSlots;
    }
    return demand;
}

} // namespace appleramp
