#include "decisions/forwarding/starting_requests.h"

#include <algorithm>
#include <utility>

namespace appleramp {

starting_requests::starting_requests(instant startedAt, duration longestWait)
    : m_startedAt(startedAt)
    , m_longestWait(longestWait)
{
}

std::optional<instant> starting_requests::waitEnd(instant now, instant arrivedAt, const caller_request& caller) const
{
    if (now - m_startedAt >= startTime)
        return std::nullopt;
    const duration wait = caller.timeout ? std::min(m_longestWait, *caller.timeout / waitDivisor) : m_longestWait;
    const instant end = arrivedAt + wait;
    return now < end ? std::optional(end) : std::nullopt;
}

bool starting_requests::add(instant now, request_number request, const caller_request& caller)
{
    const auto end = waitEnd(now, now, caller);
    if (!end || m_entries.size() >= maxEntries)
        return false;
    m_entries.emplace(request, entry { caller, now, *end });
    return true;
}

std::optional<instant> starting_requests::nextTry(instant now, request_number request) const
{
    const auto found = m_entries.find(request);
    if (found == m_entries.end() || now >= found->second.waitEnd)
        return std::nullopt;
    return std::min(now + retryInterval, found->second.waitEnd);
}

std::vector<request_number> starting_requests::numbers() const
{
    std::vector<request_number> numbers;
    for (const auto& [number, kept] : m_entries)
        numbers.push_back(number);
    return numbers;
}

std::optional<starting_requests::entry> starting_requests::take(request_number request)
{
    const auto found = m_entries.find(request);
    if (found == m_entries.end())
        return std::nullopt;
    auto taken = std::move(found->second);
    m_entries.erase(found);
    return taken;
}

} // namespace appleramp
