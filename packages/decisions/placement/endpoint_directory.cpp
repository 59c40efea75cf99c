#include "decisions/placement/endpoint_directory.h"

#include <algorithm>
#include <cassert>
#include <compare>

namespace appleramp {

namespace {

bool hasAdapter(const linked_endpoint& endpoint, const adapter_id& adapter)
{
    const auto& loaded = endpoint.description.adapters;
    return adapter.empty() || std::find(loaded.begin(), loaded.end(), adapter) != loaded.end();
}

// Added to an endpoint's load, as a fraction of its slots.
constexpr double crossZoneCost = 0.1;

// Sort key of an endpoint; smaller is better. Compared member by member.
struct endpoint_rank {
    double cost = 0;
    duration expectedWait {};
    link_number link = 0;

    auto operator<=>(const endpoint_rank&) const = default;
};

endpoint_rank rankEndpoint(const linked_endpoint& endpoint, const availability_zone_id& preferred)
{
    const double usedShare = static_cast<double>(endpoint.inFlight) / endpoint.slots;
    const double zoneCost = endpoint.zone == preferred ? 0 : crossZoneCost;
    return { usedShare + zoneCost, endpoint.expectedWait, endpoint.link };
}

} // namespace

bool isInService(const linked_endpoint& endpoint, const fleet_configuration& configuration)
{
    return !configuration.zonesOut.contains(endpoint.zone) && !configuration.instancesOut.contains(endpoint.instance);
}

void endpoint_directory::add(link_number link, incarnation agentLife, const hello& greeting)
{
    assert(greeting.endpoint);
    linked_endpoint endpoint;
    endpoint.link = link;
    endpoint.instance = greeting.instance;
    endpoint.zone = greeting.zone;
    endpoint.agentLife = agentLife;
    endpoint.description = *greeting.endpoint;
    for (const auto& service : endpoint.description.services)
        m_byService[service].insert(link);
    m_byAgent[endpoint.instance][agentLife] = link;
    m_endpoints[link] = std::move(endpoint);
    ++m_membershipVersion;
}

void endpoint_directory::remove(link_number link)
{
    const auto found = m_endpoints.find(link);
    if (found == m_endpoints.end())
        return;
    for (const auto& service : found->second.description.services) {
        auto& links = m_byService[service];
        links.erase(link);
        if (links.empty())
            m_byService.erase(service);
    }
    removeAgent(found->second);
    m_endpoints.erase(found);
    m_shrunkGrantLinks.erase(link);
    ++m_membershipVersion;
}

void endpoint_directory::applyGrant(link_number link, const slot_grant& grant, instant now)
{
    const auto found = m_endpoints.find(link);
    if (found == m_endpoints.end() || grant.sequence <= found->second.grantSequence)
        return;
    auto& endpoint = found->second;
    endpoint.grantSequence = grant.sequence;
    if (grant.slots < endpoint.slots)
        m_shrunkGrantLinks.insert(link);
    endpoint.slots = grant.slots;
    endpoint.grantExpiresAt = now + grant.lifetime;
    endpoint.expectedWait = grant.expectedWait;
    endpoint.cold = grant.cold;
}

const linked_endpoint* endpoint_directory::find(link_number link) const
{
    const auto found = m_endpoints.find(link);
    return found == m_endpoints.end() ? nullptr : &found->second;
}

const linked_endpoint* endpoint_directory::findAgent(const instance_id& instance, incarnation life) const
{
    const auto lives = m_byAgent.find(instance);
    if (lives == m_byAgent.end())
        return nullptr;
    const auto link = lives->second.find(life);
    return link == lives->second.end() ? nullptr : find(link->second);
}

bool endpoint_directory::isReplaced(const instance_id& instance, incarnation life) const
{
    const auto lives = m_byAgent.find(instance);
    return lives != m_byAgent.end() && lives->second.rbegin()->first > life && !lives->second.contains(life);
}

void endpoint_directory::removeAgent(const linked_endpoint& endpoint)
{
    const auto lives = m_byAgent.find(endpoint.instance);
    const auto life = lives->second.find(endpoint.agentLife);
    // A newer link to the same incarnation may have replaced this one in the map.
    if (life == lives->second.end() || life->second != endpoint.link)
        return;
    lives->second.erase(life);
    if (lives->second.empty())
        m_byAgent.erase(lives);
}

std::set<link_number> endpoint_directory::linksServing(const service_id& service) const
{
    const auto links = m_byService.find(service);
    return links == m_byService.end() ? std::set<link_number>() : links->second;
}

std::optional<link_number> endpoint_directory::choose(const service_request& request,
    const availability_zone_id& preferred, const std::set<link_number>& excluded,
    const fleet_configuration& configuration, instant now) const
{
    const auto candidates = m_byService.find(request.service);
    if (candidates == m_byService.end())
        return std::nullopt;
    std::optional<endpoint_rank> best;
    for (const auto link : candidates->second) {
        const auto& endpoint = m_endpoints.at(link);
        if (!endpoint.hasFreeSlot(now) || excluded.contains(link))
            continue;
        if (!isInService(endpoint, configuration) || !hasAdapter(endpoint, request.adapter))
            continue;
        const auto rank = rankEndpoint(endpoint, preferred);
        if (!best || rank < *best)
            best = rank;
    }
    return best ? std::optional(best->link) : std::nullopt;
}

std::optional<link_number> endpoint_directory::chooseForExclusive(const service_request& request,
    const std::set<link_number>& excluded, const fleet_configuration& configuration) const
{
    const auto candidates = m_byService.find(request.service);
    if (candidates == m_byService.end())
        return std::nullopt;
    const linked_endpoint* best = nullptr;
    for (const auto link : candidates->second) {
        const auto& endpoint = m_endpoints.at(link);
        if (excluded.contains(link) || !isInService(endpoint, configuration) || !hasAdapter(endpoint, request.adapter))
            continue;
        if (!best || endpoint.instance < best->instance)
            best = &endpoint;
    }
    return best ? std::optional(best->link) : std::nullopt;
}

void endpoint_directory::recordDemand(link_number link, const slot_demand& demand)
{
    auto& endpoint = m_endpoints.at(link);
    endpoint.demand = demand;
    m_shrunkGrantLinks.erase(link);
}

void endpoint_directory::takeSlot(link_number link) { ++m_endpoints.at(link).inFlight; }

void endpoint_directory::returnSlot(link_number link)
{
    const auto found = m_endpoints.find(link);
    if (found == m_endpoints.end())
        return;
    assert(found->second.inFlight > 0);
    --found->second.inFlight;
}

} // namespace appleramp
