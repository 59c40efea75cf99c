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

std::optional<fencing_number> lease_keeper::heldFencing(instant now) const
{
    if (!m_heldUntil || now >= *m_heldUntil)
        return std::nullopt;
    return m_heldFencing;
}

void lease_keeper::onTime(instant now, operation_number& nextOperation, maps_effects& effects)
{
    if (m_pendingCall && now < m_callStarted + callTimeout)
        return;
    m_pendingCall.reset();
    if (now < m_nextCallAt)
        return;
    // If it is unknown whether the last write succeeded, the row is read back first.
    if (!m_rowKnown || m_unconfirmedWrite) {
        read(now, nextOperation, effects);
        return;
    }
    if (heldFencing(now)) {
        write(now, { m_lastRecord.fencing, m_holder, ++m_renewals }, nextOperation, effects);
        return;
    }
    if (now >= m_unchangedSince + m_settings.leaseDuration || m_lastRecord.fencing == 0) {
        write(now, { m_lastRecord.fencing + 1, m_holder, ++m_renewals }, nextOperation, effects);
        return;
    }
    read(now, nextOperation, effects);
}

void lease_keeper::read(instant now, operation_number& nextOperation, maps_effects& effects)
{
    m_pendingCall = nextOperation++;
    m_callStarted = now;
    m_nextCallAt = now + m_settings.pollInterval;
    effects.push_back(call_platform { *m_pendingCall, table_get { m_key } });
}

void lease_keeper::write(
    instant now, const lease_record& record, operation_number& nextOperation, maps_effects& effects)
{
    m_pendingCall = nextOperation++;
    m_callStarted = now;
    m_unconfirmedWrite = record;
    m_writeStarted = now;
    m_nextCallAt = now + m_settings.renewInterval;
    effects.push_back(call_platform { *m_pendingCall, table_put { m_key, encodeLease(record), m_lastVersion } });
}

bool lease_keeper::onReply(instant now, const platform_replied& reply)
{
    if (!m_pendingCall || reply.operation != *m_pendingCall)
        return false;
    m_pendingCall.reset();
    applyResult(now, reply.result);
    return true;
}

void lease_keeper::applyResult(instant now, const platform_result& result)
{
    switch (result.status) {
    case platform_status::Done:
    case platform_status::Conflict:
        if (!result.rows.empty())
            adoptRecord(now, decodeLease(result.rows.front().value), result.rows.front().version);
        else
            m_rowKnown = false;
        return;
    case platform_status::NotFound:
        m_rowKnown = true;
        m_unconfirmedWrite.reset();
        m_lastRecord = {};
        m_lastVersion = 0;
        return;
    case platform_status::Unavailable:
        m_unconfirmedWrite.reset();
        return;
    case platform_status::Unknown:
        m_nextCallAt = now;
        return;
    }
}

void lease_keeper::adoptRecord(instant now, const lease_record& record, row_version version)
{
    const bool changed = !m_rowKnown || version != m_lastVersion;
    m_rowKnown = true;
    m_lastRecord = record;
    m_lastVersion = version;
    if (changed)
        m_unchangedSince = now;
    if (m_unconfirmedWrite && record.holder == m_holder && record.renewal == m_unconfirmedWrite->renewal)
        m_heldUntil = m_writeStarted + m_settings.leaseDuration;
    else if (record.holder != m_holder || record.fencing != m_heldFencing)
        m_heldUntil.reset();
    m_heldFencing = record.fencing;
    m_unconfirmedWrite.reset();
}

} // namespace appleramp
