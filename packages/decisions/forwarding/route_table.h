#pragma once

#include "model/routing.h"

#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace appleramp {

// Index over one configuration, for finding the route of a request and the team of an API key.
class route_table {
public:
    explicit route_table(routing_configuration configuration);

    configuration_version version() const { return m_configuration.version; }
    const routing_configuration& configuration() const { return m_configuration; }

    // Returns the route of the host with the longest matching path prefix, or null if there is none.
    const route* find(std::string_view host, std::string_view path) const;
    const team* teamForKey(std::string_view apiKey) const;
    const service_description* service(const service_id& id) const;
    // Whether requests need an API key, unless their route is public. They do also where no team has one.
    bool requiresKeys() const { return m_configuration.teams.has_value(); }
    std::span<const team> teams() const;
    // Whether a key that no team has is known to be invalid.
    bool knowsAllKeys() const { return m_configuration.unreadableTeams == 0; }

private:
    routing_configuration m_configuration;
    // Indexes of the routes of each host, longest prefix first.
    std::map<std::string, std::vector<std::size_t>, std::less<>> m_routesByHost;
    std::map<std::string, std::size_t, std::less<>> m_teamsByKey;
    std::map<service_id, std::size_t> m_servicesById;
};

// Picks one of the route's services by weight, with a random fraction in [0, 1).
const service_id& pickServiceByWeight(const route& route, double randomFraction);

} // namespace appleramp
