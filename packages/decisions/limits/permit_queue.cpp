#include "decisions/limits/permit_queue.h"

#include <iterator>

namespace appleramp {

void permit_queue::add(const service_id& service, std::uint32_t urgencyRank, request_number request)
{
    m_waiting[service].emplace(urgencyRank, request);
}

void permit_queue::remove(const service_id& service, std::uint32_t urgencyRank, request_number request)
{
    const auto found = m_waiting.find(service);
    if (found == m_waiting.end())
        return;
    found->second.erase({ urgencyRank, request });
    if (found->second.empty())
        m_waiting.erase(found);
}

std::size_t permit_queue::countAhead(const service_id& service, std::uint32_t urgencyRank, request_number request) const
{
    const auto found = m_waiting.find(service);
    if (found == m_waiting.end())
        return 0;
    return static_cast<std::size_t>(std::distance(found->second.begin(), found->second.lower_bound({ urgencyRank, request })));
}

std::size_t permit_queue::size() const
{
    std::size_t requests = 0;
    for (const auto& [service, waiting] : m_waiting)
        requests += waiting.size();
    return requests;
}

} // namespace appleramp
