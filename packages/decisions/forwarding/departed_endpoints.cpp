#include "decisions/forwarding/departed_endpoints.h"

#include <algorithm>

namespace appleramp {

bool departed_endpoints::recordLeaving(instant now, const endpoint_record& record)
{
    const auto known = m_departures.find(record.id);
    const bool isNew = known == m_departures.end() || !known->second.saidSo || known->second.startedAtMs < record.startedAtMs;
    remember(now, record, true);
    return isNew;
}

void departed_endpoints::recordUnlisted(instant now, const endpoint_record& record) { remember(now, record, false); }

void departed_endpoints::remember(instant now, const endpoint_record& record, bool saidSo)
{
    const auto [known, isNew] = m_departures.try_emplace(record.id, departure { record.startedAtMs, saidSo, now });
    if (!isNew) {
        const bool isSame = known->second.startedAtMs == record.startedAtMs;
        known->second = { std::max(known->second.startedAtMs, record.startedAtMs), saidSo || (isSame && known->second.saidSo), now };
        return;
    }
    if (m_departures.size() <= maxDepartures)
        return;
    m_departures.erase(std::min_element(m_departures.begin(), m_departures.end(),
        [](const auto& left, const auto& right) { return left.second.at < right.second.at; }));
}

void departed_endpoints::onStoreRestored(instant now) { m_distrustUntil = now + distrustPeriod; }

bool departed_endpoints::excludes(instant now, const endpoint_record& record) const
{
    const auto found = m_departures.find(record.id);
    if (found == m_departures.end() || record.startedAtMs > found->second.startedAtMs)
        return false;
    return found->second.saidSo || now < m_distrustUntil;
}

void departed_endpoints::removeExpired(instant now)
{
    std::erase_if(m_departures, [now](const auto& entry) { return now - entry.second.at > memory; });
}

} // namespace appleramp
