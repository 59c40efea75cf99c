#include "decisions/workload/placed_work.h"

#include <algorithm>

namespace appleramp {

void placed_work::recordSend(request_number request, const endpoint_id& endpoint, const request_work& work)
{
    recordEnd(request);
    endpoint_total& total = m_endpoints[endpoint];
    m_requests[request] = { endpoint, work, false, total.reports };
    ++total.requests;
    total.work.memoryTokens += work.memoryTokens;
    total.work.unreadPrompts += work.promptTime;
    total.work.memorySinceReport += work.memoryTokens;
    total.work.promptsSinceReport += work.promptTime;
}

void placed_work::recordFirstEvent(request_number request)
{
    const auto found = m_requests.find(request);
    if (found == m_requests.end() || found->second.hasBegun)
        return;
    found->second.hasBegun = true;
    endpoint_total& total = m_endpoints.at(found->second.endpoint);
    total.work.unreadPrompts -= found->second.work.promptTime;
    if (found->second.report == total.reports)
        total.work.promptsSinceReport -= found->second.work.promptTime;
}

void placed_work::recordEnd(request_number request)
{
    recordFirstEvent(request);
    const auto found = m_requests.find(request);
    if (found == m_requests.end())
        return;
    const auto total = m_endpoints.find(found->second.endpoint);
    total->second.work.memoryTokens -= found->second.work.memoryTokens;
    if (found->second.report == total->second.reports)
        total->second.work.memorySinceReport -= found->second.work.memoryTokens;
    if (--total->second.requests == 0)
        m_endpoints.erase(total);
    m_requests.erase(found);
}

void placed_work::recordReport(const endpoint_id& endpoint)
{
    const auto found = m_endpoints.find(endpoint);
    if (found == m_endpoints.end())
        return;
    ++found->second.reports;
    found->second.work.memorySinceReport = 0;
    found->second.work.promptsSinceReport = duration::zero();
}

endpoint_work placed_work::at(const endpoint_id& endpoint) const
{
    const auto found = m_endpoints.find(endpoint);
    return found == m_endpoints.end() ? endpoint_work {} : found->second.work;
}

} // namespace appleramp
