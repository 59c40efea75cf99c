#include "decisions/maps/lease_keeper.h"

#include "decisions/maps/maps_error.h"

#include <utility>

namespace appleramp {

namespace {

constexpr duration callTimeout = std::chrono::seconds(1);

} // namespace

lease_keeper::lease_keeper(const group_id& group, std::string holder, lease_settings settings)
    : m_key(leaseKey(group))
    , m_holder(std::move(holder))
    , m_settings(settings)
{
}

std::optional<fencing_number> lease_keeper::held(instant now) const
{
    if (!m_heldUntil || now >= *m_heldUntil)
        return std::nullopt;
    return m_heldFencing;
}

void lease_keeper::onTime(instant now, operation_number& nextOperation, maps_effects& effects)
{
    if (m_call && now < m_callStarted + callTimeout)
        return;
    m_call.reset();
    if (now < m_nextCall)
        return;
    // A write whose fate is unknown is read back first.
    if (!m_known || m_written) {
        read(now, nextOperation, effects);
        return;
    }
    if (held(now)) {
        write(now, { m_seen.fencing, m_holder, ++m_renewals }, nextOperation, effects);
        return;
    }
    if (now >= m_seenSince + m_settings.duration || m_seen.fencing == 0) {
        write(now, { m_seen.fencing + 1, m_holder, ++m_renewals }, nextOperation, effects);
        return;
    }
    read(now, nextOperation, effects);
}

void lease_keeper::read(instant now, operation_number& nextOperation, maps_effects& effects)
{
    m_call = nextOperation++;
    m_callStarted = now;
    m_nextCall = now + m_settings.watchInterval;
    effects.push_back(call_platform { *m_call, table_get { m_key } });
}

void lease_keeper::write(
    instant now, const lease_record& record, operation_number& nextOperation, maps_effects& effects)
{
    m_call = nextOperation++;
    m_callStarted = now;
    m_written = record;
    m_writeStarted = now;
    m_nextCall = now + m_settings.renewInterval;
    effects.push_back(call_platform { *m_call, table_put { m_key, encodeLease(record), m_seenVersion } });
}

bool lease_keeper::onReply(instant now, const platform_replied& reply)
{
    if (!m_call || reply.operation != *m_call)
        return false;
    m_call.reset();
    learn(now, reply.result);
    return true;
}

void lease_keeper::learn(instant now, const platform_result& result)
{
    switch (result.status) {
    case platform_status::Done:
    case platform_status::Conflict:
        if (!result.rows.empty())
            see(now, decodeLease(result.rows.front().value), result.rows.front().version);
        else
            m_known = false;
        return;
    case platform_status::NotFound:
        m_known = true;
        m_written.reset();
        m_seen = {};
        m_seenVersion = 0;
        return;
    case platform_status::Unavailable:
        m_written.reset();
        return;
    case platform_status::Unknown:
        m_nextCall = now;
        return;
    }
}

void lease_keeper::see(instant now, const lease_record& record, row_version version)
{
    const bool changed = !m_known || version != m_seenVersion;
    m_known = true;
    m_seen = record;
    m_seenVersion = version;
    if (changed)
        m_seenSince = now;
    if (m_written && record.holder == m_holder && record.renewal == m_written->renewal)
        m_heldUntil = m_writeStarted + m_settings.duration;
    else if (record.holder != m_holder || record.fencing != m_heldFencing)
        m_heldUntil.reset();
    m_heldFencing = record.fencing;
    m_written.reset();
}

} // namespace appleramp
