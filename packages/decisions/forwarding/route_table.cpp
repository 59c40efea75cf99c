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
        m_byHost[routes[index].host].push_back(index);
    for (auto& [host, indexes] : m_byHost)
        std::stable_sort(indexes.begin(), indexes.end(), [&](std::size_t left, std::size_t right) {
            return routes[left].prefix.size() > routes[right].prefix.size();
        });
    for (std::size_t index = 0; index < m_configuration.teams.size(); ++index) {
        for (const std::string& key : m_configuration.teams[index].apiKeys)
            m_byKey.emplace(key, index);
    }
    for (std::size_t index = 0; index < m_configuration.services.size(); ++index)
        m_services.emplace(m_configuration.services[index].id, index);
}

const route* route_table::find(std::string_view host, std::string_view path) const
{
    const auto found = m_byHost.find(host);
    if (found == m_byHost.end())
        return nullptr;
    for (const std::size_t index : found->second) {
        const route& candidate = m_configuration.routes[index];
        if (path.starts_with(candidate.prefix))
            return &candidate;
    }
    return nullptr;
}

const team* route_table::teamOfKey(std::string_view apiKey) const
{
    const auto found = m_byKey.find(apiKey);
    return found == m_byKey.end() ? nullptr : &m_configuration.teams[found->second];
}

const service_description* route_table::service(const service_id& id) const
{
    const auto found = m_services.find(id);
    return found == m_services.end() ? nullptr : &m_configuration.services[found->second];
}

const service_id& serviceByWeight(const route& route, double point)
{
    const double total = std::accumulate(route.services.begin(), route.services.end(), 0.0,
        [](double sum, const weighted_service& choice) { return sum + choice.weight; });
    double left = point * total;
    for (const weighted_service& choice : route.services) {
        left -= choice.weight;
        if (left < 0)
            return choice.service;
    }
    return route.services.back().service;
}

} // namespace appleramp
