#pragma once

#include "model/routing.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace appleramp {

// An index over one configuration: which route takes a request, and which team a key belongs to.
class route_table {
public:
    explicit route_table(routing_configuration configuration);

    configuration_version version() const { return m_configuration.version; }
    const routing_configuration& configuration() const { return m_configuration; }

    // The route of that host with the longest prefix of the path; null if there is none.
    const route* find(std::string_view host, std::string_view path) const;
    const team* teamOfKey(std::string_view apiKey) const;
    const service_description* service(const service_id& id) const;
    bool asksForKeys() const { return !m_configuration.teams.empty(); }

private:
    routing_configuration m_configuration;
    // Routes of a host, the longest prefix first.
    std::map<std::string, std::vector<std::size_t>, std::less<>> m_byHost;
    std::map<std::string, std::size_t, std::less<>> m_byKey;
    std::map<service_id, std::size_t> m_services;
};

// Picks one of the route's services by weight. The point lies in [0, 1).
const service_id& serviceByWeight(const route& route, double point);

} // namespace appleramp
