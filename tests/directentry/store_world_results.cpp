#include "store_world_state.h"

#include <algorithm>

namespace appleramp::tests {

double store_world::served(duration from, duration until) const
{
    std::size_t all = 0;
    std::size_t sent = 0;
    for (const outcome& each : m_outcomes) {
        if (each.when < instant(from) || each.when >= instant(until))
            continue;
        ++all;
        sent += each.sent ? 1 : 0;
    }
    return all == 0 ? 1 : static_cast<double>(sent) / static_cast<double>(all);
}

std::optional<duration> store_world::lastUse(const std::string& entry, const std::string& key, duration from) const
{
    const auto uses = m_lastUses.find(entry);
    if (uses == m_lastUses.end() || !uses->second.contains(key) || uses->second.at(key) <= instant(from))
        return std::nullopt;
    return uses->second.at(key) - instant(from);
}

std::optional<duration> store_world::lastUseAfterRevocation() const
{
    std::optional<duration> latest;
    for (const auto& [name, self] : m_entries) {
        if (const auto used = m_revokedAt ? lastUse(name, "old", m_revokedAt->time_since_epoch()) : std::nullopt)
            latest = std::max(latest.value_or(*used), *used);
    }
    return latest;
}

std::optional<duration> store_world::lastLogged(const std::string& what, duration from) const
{
    duration last {};
    for (const auto& [name, self] : m_entries) {
        if (!self->alive)
            continue;
        const auto kind = m_logged.find(what);
        const auto lines = kind == m_logged.end() ? decltype(kind->second.begin()) {} : kind->second.find(name);
        if (kind == m_logged.end() || lines == kind->second.end())
            return std::nullopt;
        const auto first = std::lower_bound(lines->second.begin(), lines->second.end(), instant(from));
        if (first == lines->second.end())
            return std::nullopt;
        last = std::max(last, first->time_since_epoch());
    }
    return last;
}

std::size_t store_world::logged(const std::string& what) const
{
    std::size_t count = 0;
    if (const auto kind = m_logged.find(what); kind != m_logged.end()) {
        for (const auto& [name, lines] : kind->second)
            count += lines.size();
    }
    return count;
}

std::vector<duration> store_world::confirmationDelays(duration from) const
{
    std::vector<duration> delays;
    for (const auto& [name, confirmations] : m_confirmations) {
        const auto first = std::find_if(confirmations.begin(), confirmations.end(), [from](const auto& each) { return each.currentAsOf >= instant(from); });
        delays.push_back(first == confirmations.end() ? duration::max() : first->when - instant(from));
    }
    std::sort(delays.begin(), delays.end());
    return delays;
}

std::vector<duration> store_world::retryAfters(duration from, duration until) const
{
    std::vector<duration> values;
    for (const outcome& each : m_outcomes) {
        if (each.when >= instant(from) && each.when < instant(until) && !each.sent && each.retryAfter)
            values.push_back(*each.retryAfter);
    }
    return values;
}

} // namespace appleramp::tests
