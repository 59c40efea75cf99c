#include "decisions/crashes/recent_keys.h"

namespace appleramp {

recent_keys::recent_keys(std::size_t capacity)
    : m_capacity(capacity)
{
}

void recent_keys::record(instant now, const suspect_key& key)
{
    const bool isNew = m_times.insert_or_assign(key, now).second;
    if (isNew)
        m_order.emplace_back(key, now);
    while (m_times.size() > m_capacity) {
        const auto [oldest, queuedAt] = m_order.front();
        m_order.pop_front();
        const auto found = m_times.find(oldest);
        // A key that was recorded again since it was queued is queued again.
        if (found->second > queuedAt)
            m_order.emplace_back(oldest, found->second);
        else
            m_times.erase(found);
    }
}

std::optional<instant> recent_keys::lastRecordedAt(const suspect_key& key) const
{
    const auto found = m_times.find(key);
    return found == m_times.end() ? std::nullopt : std::optional(found->second);
}

} // namespace appleramp
