#include "decisions/limits/request_turns.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace appleramp {

request_turns::request_turns(double requestsPerSecond, instant from)
    : m_from(from)
{
    assert(requestsPerSecond > 0);
    m_requestsPerTurn = std::max<std::uint64_t>(1, static_cast<std::uint64_t>(std::floor(requestsPerSecond * shortTurnSeconds)));
    const std::chrono::duration<double> length(static_cast<double>(m_requestsPerTurn) / requestsPerSecond);
    m_length = std::max(duration(1), std::chrono::duration_cast<duration>(length));
}

std::uint64_t request_turns::turnAt(instant now) const
{
    return now <= m_from ? 0 : static_cast<std::uint64_t>((now - m_from) / m_length);
}

} // namespace appleramp
