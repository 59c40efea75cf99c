#pragma once

#include "model/identifiers.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <utility>

namespace appleramp {

// The requests of each service that wait until an endpoint's limit allows them, the most urgent and then the earliest first.
class permit_queue {
public:
    void add(const service_id& service, std::uint32_t urgencyRank, request_number request);
    void remove(const service_id& service, std::uint32_t urgencyRank, request_number request);
    // Requests that are served before this one.
    std::size_t countAhead(const service_id& service, std::uint32_t urgencyRank, request_number request) const;
    bool isWaiting(const service_id& service) const { return m_waiting.contains(service); }
    std::size_t size() const;

private:
    std::map<service_id, std::set<std::pair<std::uint32_t, request_number>>> m_waiting;
};

} // namespace appleramp
