#include "decisions/limits/turn_owners.h"

#include "decisions/membership/rendezvous.h"

#include <algorithm>

namespace appleramp {

namespace {

// Multipliers of the finalizer of splitmix64.
constexpr std::uint64_t firstMultiplier = 0xbf58476d1ce4e5b9;
constexpr std::uint64_t secondMultiplier = 0x94d049bb133111eb;

std::uint64_t mixed(std::uint64_t value)
{
    value = (value ^ (value >> 30U)) * firstMultiplier;
    value = (value ^ (value >> 27U)) * secondMultiplier;
    return value ^ (value >> 31U);
}

} // namespace

void turn_owners::setEntries(std::string_view self, std::span<const std::string> names)
{
    m_self = rendezvousScore({}, self);
    m_isKnown = !names.empty();
    m_others.clear();
    for (const std::string& name : names) {
        if (name != self)
            m_others.push_back(rendezvousScore({}, name));
    }
    ++m_generation;
}

std::uint64_t turn_owners::ownRequests(std::string_view endpoint, std::uint64_t turn, std::uint64_t requestsPerTurn) const
{
    if (!m_isKnown)
        return 0;
    const std::uint64_t entries = m_others.size() + 1;
    const std::uint64_t remainder = requestsPerTurn % entries;
    if (remainder == 0)
        return requestsPerTurn / entries;
    const std::uint64_t key = mixed(rendezvousScore({}, endpoint) + turn);
    const std::uint64_t ownScore = mixed(key ^ m_self);
    const auto before = std::count_if(m_others.begin(), m_others.end(), [&](std::uint64_t other) { return mixed(key ^ other) > ownScore; });
    return requestsPerTurn / entries + (static_cast<std::uint64_t>(before) < remainder ? 1 : 0);
}

} // namespace appleramp
