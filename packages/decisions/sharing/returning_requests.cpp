#include "decisions/sharing/returning_requests.h"

namespace appleramp {

void returning_requests::recordRefusal(instant now, std::uint64_t contentHash, duration retryAfter, bool isPromised)
{
    m_told[contentHash] = { now + retryAfter, isPromised, ++m_refusals };
    m_order.emplace_back(contentHash, m_refusals);
    while (m_order.size() > maxRequests) {
        const auto [oldest, refusal] = m_order.front();
        m_order.pop_front();
        // The content may have been refused again since.
        if (const auto found = m_told.find(oldest); found != m_told.end() && found->second.refusal == refusal)
            m_told.erase(found);
    }
}

returning_requests::return_kind returning_requests::kindOf(instant now, std::uint64_t contentHash) const
{
    const auto found = m_told.find(contentHash);
    if (found == m_told.end() || now > found->second.due + returnWindow)
        return return_kind::New;
    if (now + tolerance < found->second.due)
        return return_kind::Early;
    return found->second.isPromised ? return_kind::AsTold : return_kind::New;
}

duration returning_requests::timeLeft(instant now, std::uint64_t contentHash) const
{
    const auto found = m_told.find(contentHash);
    return found == m_told.end() || found->second.due <= now ? duration::zero() : found->second.due - now;
}

} // namespace appleramp
