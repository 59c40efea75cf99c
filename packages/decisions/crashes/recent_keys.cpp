#include "decisions/crashes/recent_keys.h"

namespace appleramp {

recent_keys::recent_keys(std::size_t capacity)
    : m_capacity(capacity)
{
}

void recent_keys::record(instant now, const suspect_key& key)
{
    const auto [found, isNew] = m_times.insert_or_assign(key, now);
    if (!isNew)
        return;
    m_order.push_back(key);
    if (m_order.size() <= m_capacity)
        return;
    m_times.erase(m_order.front());
    m_order.pop_front();
}

std::optional<instant> recent_keys::lastRecordedAt(const suspect_key& key) const
{
    const auto found = m_times.find(key);
    return found == m_times.end() ? std::nullopt : std::optional(found->second);
}

} // namespace appleramp
