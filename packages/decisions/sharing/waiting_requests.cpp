#include "decisions/sharing/waiting_requests.h"

#include <algorithm>
#include <tuple>

namespace appleramp {

bool waiting_requests::goesBefore(instant now, const waiting_request& left, const waiting_request& right)
{
    const auto key = [now](const waiting_request& each) {
        return std::make_tuple(each.rank, !each.isReturning, each.sendBy < now, -each.teamDeficit, each.sendBy, each.request);
    };
    return key(left) < key(right);
}

void waiting_requests::eraseAt(std::size_t index)
{
    m_bytes -= m_requests[index].bytes;
    m_requests.erase(m_requests.begin() + static_cast<std::ptrdiff_t>(index));
}

waiting_requests::addition waiting_requests::add(instant now, const waiting_request& request)
{
    addition result;
    if (request.bytes > maxBytes)
        return { add_outcome::Full, {} };
    const auto isWeaker = [now](const auto& left, const auto& right) { return goesBefore(now, left, right); };
    // Whether there is a place is settled before any request loses its own.
    std::vector<waiting_request> weakest(m_requests);
    std::sort(weakest.begin(), weakest.end(), isWeaker);
    std::size_t kept = weakest.size();
    std::size_t bytes = m_bytes;
    while (kept >= maxRequests || bytes + request.bytes > maxBytes) {
        if (kept == 0 || !goesBefore(now, request, weakest[kept - 1]))
            return { add_outcome::Full, {} };
        bytes -= weakest[--kept].bytes;
        result.displaced.push_back(weakest[kept].request);
    }
    for (const request_number displaced : result.displaced)
        remove(displaced);
    m_requests.push_back(request);
    m_bytes += request.bytes;
    return result;
}

bool waiting_requests::remove(request_number request)
{
    const auto found = std::find_if(m_requests.begin(), m_requests.end(), [request](const auto& each) { return each.request == request; });
    if (found == m_requests.end())
        return false;
    eraseAt(static_cast<std::size_t>(found - m_requests.begin()));
    return true;
}

const waiting_request* waiting_requests::find(request_number request) const
{
    const auto found = std::find_if(m_requests.begin(), m_requests.end(), [request](const auto& each) { return each.request == request; });
    return found == m_requests.end() ? nullptr : &*found;
}

std::optional<waiting_request> waiting_requests::takeFirst(instant now, std::uint8_t rank)
{
    std::optional<std::size_t> first;
    for (std::size_t index = 0; index < m_requests.size(); ++index) {
        if (m_requests[index].rank == rank && (!first || goesBefore(now, m_requests[index], m_requests[*first])))
            first = index;
    }
    if (!first)
        return std::nullopt;
    waiting_request taken = m_requests[*first];
    eraseAt(*first);
    return taken;
}

std::size_t waiting_requests::countAhead(instant now, const waiting_request& request) const
{
    return static_cast<std::size_t>(std::count_if(m_requests.begin(), m_requests.end(),
        [&](const auto& each) { return each.rank == request.rank && goesBefore(now, each, request); }));
}

std::size_t waiting_requests::count(std::uint8_t rank) const
{
    return static_cast<std::size_t>(std::count_if(m_requests.begin(), m_requests.end(), [rank](const auto& each) { return each.rank == rank; }));
}

} // namespace appleramp
