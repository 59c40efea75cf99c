#include "decisions/forwarding/route_table.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace appleramp {

route_table::route_table(routing_configuration configuration)
    : m_configuration(std::move(configuration))
{
    const auto& routes = m_configuration.routes;
    for (std::size_t index = 0; index < routes.size(); ++index)
        m_routesByHost[routes[index].host].push_back(index);
    for (auto& [host, indexes] : m_routesByHost)
        std::stable_sort(indexes.begin(), indexes.end(), [&](std::size_t left, std::size_t right) {
            return routes[left].prefix.size() > routes[right].prefix.size();
        });
    for (std::size_t index = 0; index < teams().size(); ++index) {
        for (const std::string& key : teams()[index].apiKeys) {
            // A request without a key has an empty one, which names no team.
            if (!key.empty())
                m_teamsByKey.emplace(key, index);
        }
    }
    for (std::size_t index = 0; index < m_configuration.services.size(); ++index)
        m_servicesById.emplace(m_configuration.services[index].id, index);
}

const route* route_table::find(std::string_view host, std::string_view path) const
{
    const auto found = m_routesByHost.find(host);
    if (found == m_routesByHost.end())
        return nullptr;
    for (const std::size_t index : found->second) {
        const route& candidate = m_configuration.routes[index];
        if (path.starts_with(candidate.prefix))
            return &candidate;
    }
    return nullptr;
}

const team* route_table::teamForKey(std::string_view apiKey) const
{
    const auto found = m_teamsByKey.find(apiKey);
    return found == m_teamsByKey.end() ? nullptr : &teams()[found->second];
}

std::span<const team> route_table::teams() const
{
    return m_configuration.teams ? std::span<const team>(*m_configuration.teams) : std::span<const team>();
}

const service_description* route_table::service(const service_id& id) const
{
    const auto found = m_servicesById.find(id);
    return found == m_servicesById.end() ? nullptr : &m_configuration.services[found->second];
}

const service_id& pickServiceByWeight(const route& route, double randomFraction)
{
    const double total = std::accumulate(route.services.begin(), route.services.end(), 0.0,
        [](double sum, const weighted_service& choice) { return sum + choice.weight; });
    double remaining = randomFraction * total;
    const weighted_service* last = &route.services.back();
    for (const weighted_service& choice : route.services) {
        if (choice.weight <= 0)
            continue;
        last = &choice;
        remaining -= choice.weight;
        if (remaining < 0)
            break;
    }
    return last->service;
}

} // namespace appleramp
