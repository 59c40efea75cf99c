#include "decisions/placement/demand_planner.h"

#include "decisions/configuration/configuration_register.h"
#include "decisions/membership/rendezvous.h"
#include "decisions/placement/endpoint_directory.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace appleramp {

namespace {

// Agents take an entry that is silent for a few of these as gone.
constexpr duration demandInterval = std::chrono::milliseconds(500);
// A service that was asked for within this time has idle slots held for it.
constexpr duration recentUse = std::chrono::seconds(10);
constexpr std::uint32_t spareSlots = 1;
// Endpoints of one service that an entry asks for slots.
constexpr std::size_t maxAsked = 16;

std::uint64_t score(const entry_identity& self, const linked_endpoint& endpoint)
{
    return rendezvousScore(self.instance.view(), endpoint.instance.view());
}

} // namespace

void demand_planner::plan(const entry_context& context, const waiting_counts& waiting)
{
    const bool isRound = context.now >= m_nextRound;
    const bool isNewChoice = chooseAgain(context);
    if (isRound)
        m_nextRound = context.now + demandInterval;
    if (isRound || isNewChoice) {
        for (const auto& [link, endpoint] : context.endpoints.all())
            tell(context, link, waiting, isRound);
    } else if (waiting != m_planned || !context.endpoints.cutLinks().empty()) {
        for (const auto link : concerned(context, waiting))
            tell(context, link, waiting, false);
    }
    m_planned = waiting;
}

bool demand_planner::chooseAgain(const entry_context& context)
{
    const auto membership = context.endpoints.membershipChanges();
    const auto version = context.configuration.version();
    if (membership == m_chosenMembership && version == m_chosenConfiguration)
        return false;
    m_chosenMembership = membership;
    m_chosenConfiguration = version;
    std::map<service_id, std::vector<std::pair<std::uint64_t, link_number>>> ranked;
    for (const auto& [link, endpoint] : context.endpoints.all()) {
        if (!isInService(endpoint, context.configuration.current()))
            continue;
        for (const auto& service : endpoint.description.services) {
            ranked[service].emplace_back(score(context.self, endpoint), link);
            // A service that has just come is likely to be asked for.
            m_lastUse.try_emplace(service, context.now);
        }
    }
    m_asked.clear();
    for (auto& [service, endpoints] : ranked) {
        std::sort(endpoints.begin(), endpoints.end());
        for (std::size_t index = 0; index < std::min(maxAsked, endpoints.size()); ++index)
            m_asked[service].insert(endpoints[index].second);
    }
    return true;
}

std::set<link_number> demand_planner::concerned(const entry_context& context, const waiting_counts& waiting) const
{
    auto links = context.endpoints.cutLinks();
    for (const auto& [service, asked] : m_asked) {
        const auto now = waiting.find(service);
        const auto before = m_planned.find(service);
        const auto count = now == waiting.end() ? 0 : now->second;
        const auto planned = before == m_planned.end() ? 0 : before->second;
        if (count != planned)
            links.insert(asked.begin(), asked.end());
    }
    return links;
}

void demand_planner::tell(const entry_context& context, link_number link, const waiting_counts& waiting, bool always)
{
    const auto demand = demandAt(context, link, waiting);
    const bool isDue = always || context.endpoints.cutLinks().contains(link);
    if (!isDue && !context.endpoints.find(link)->hasChanged(demand))
        return;
    context.endpoints.demanded(link, demand);
    context.send(link, demand);
}

slot_demand demand_planner::demandAt(const entry_context& context, link_number link,
    const waiting_counts& waiting) const
{
    const auto& endpoint = *context.endpoints.find(link);
    slot_demand demand;
    demand.grantSequence = endpoint.grantSequence;
    for (const auto& service : endpoint.description.services) {
        const auto asked = m_asked.find(service);
        if (asked == m_asked.end() || !asked->second.contains(link))
            continue;
        const auto count = waiting.find(service);
        const auto others = static_cast<std::uint32_t>(asked->second.size());
        if (count != waiting.end())
            demand.waiting += (count->second + others - 1) / others;
        const auto used = m_lastUse.find(service);
        if (used != m_lastUse.end() && context.now < used->second + recentUse)
            demand.spare = spareSlots;
    }
    return demand;
}

} // namespace appleramp
