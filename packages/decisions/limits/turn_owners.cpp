#include "decisions/limits/turn_owners.h"

#include "decisions/membership/rendezvous.h"

#include <algorithm>
#include <functional>
#include <utility>

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
            m_others.push_back({ name, rendezvousScore({}, name) });
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
    const auto before = std::count_if(m_others.begin(), m_others.end(), [&](const other_entry& other) { return mixed(key ^ other.hash) > ownScore; });
    return requestsPerTurn / entries + (static_cast<std::uint64_t>(before) < remainder ? 1 : 0);
}

std::optional<std::string> turn_owners::otherOwner(std::string_view endpoint, std::uint64_t turn, std::uint64_t requestsPerTurn, double randomFraction) const
{
    if (!m_isKnown || m_others.empty())
        return std::nullopt;
    const std::uint64_t entries = m_others.size() + 1;
    const auto pick = [randomFraction](std::size_t count) { return static_cast<std::size_t>(randomFraction * static_cast<double>(count)); };
    if (requestsPerTurn >= entries)
        return m_others[pick(m_others.size())].name;
    // Fewer requests than entries: those with the highest scores own one each.
    const std::uint64_t key = mixed(rendezvousScore({}, endpoint) + turn);
    std::vector<std::pair<std::uint64_t, const other_entry*>> scores { { mixed(key ^ m_self), nullptr } };
    for (const other_entry& other : m_others)
        scores.emplace_back(mixed(key ^ other.hash), &other);
    const auto end = scores.begin() + static_cast<std::ptrdiff_t>(requestsPerTurn);
    std::partial_sort(scores.begin(), end, scores.end(), std::greater<>());
    const auto owners = std::remove_if(scores.begin(), end, [](const auto& entry) { return entry.second == nullptr; });
    const auto count = static_cast<std::size_t>(owners - scores.begin());
    return count == 0 ? std::nullopt : std::optional(scores[pick(count)].second->name);
}

} // namespace appleramp
