#include "decisions/forwarding/endpoint_fleet.h"

#include <algorithm>
#include <utility>

namespace appleramp {

namespace {

// A process that starts reads the whole registry in this time. The endpoints that it learns then have not all started just now.
constexpr duration initialReadTime = std::chrono::seconds(1);

} // namespace

endpoint_fleet::endpoint_fleet(fleet_settings settings)
    : m_settings(settings)
{
}

endpoint_fleet::endpoint_state* endpoint_fleet::find(const endpoint_id& endpoint)
{
    const auto found = m_endpoints.find(endpoint);
    return found == m_endpoints.end() ? nullptr : &found->second;
}

void endpoint_fleet::addOrUpdate(instant now, const endpoint_record& record)
{
    endpoint_state& state = m_endpoints[record.id];
    if (state.record.address != record.address) {
        if (const auto formerAddress = m_byAddress.find(state.record.address); formerAddress != m_byAddress.end())
            formerAddress->second.erase(record.id);
        m_byAddress[record.address].insert(record.id);
        m_changedServices.insert(record.service);
    }
    if (!m_firstListedAt)
        m_firstListedAt = now;
    const bool wasCold = now < state.recordReceivedAt + state.record.coldFor;
    const bool isNew = state.record.id.empty() || state.record.startedAtMs != record.startedAtMs;
    if (isNew) {
        state.pausedUntil = {};
        state.outlierUntil = {};
        m_services[record.service].outliers.forget(record.id);
        m_limits.forget(record.id);
    }
    if (record.leaving)
        m_departed.recordUnlisted(now, record);
    state.record = record;
    state.source = loadSourceOf(record.address);
    state.recordReceivedAt = now;
    state.lapsedAt.reset();
    const bool turnedCold = record.coldFor > duration::zero() && (isNew || !wasCold);
    if (turnedCold || (isNew && now - *m_firstListedAt >= initialReadTime))
        beginPace(state, now);
}

void endpoint_fleet::erase(const endpoint_id& endpoint)
{
    const auto found = m_endpoints.find(endpoint);
    if (found == m_endpoints.end())
        return;
    if (const auto atAddress = m_byAddress.find(found->second.record.address); atAddress != m_byAddress.end()) {
        atAddress->second.erase(endpoint);
        if (atAddress->second.empty())
            m_byAddress.erase(atAddress);
    }
    m_limits.forget(endpoint);
    m_changedServices.insert(found->second.record.service);
    m_services[found->second.record.service].outliers.forget(endpoint);
    m_endpoints.erase(found);
}

bool endpoint_fleet::isReplaced(const endpoint_state& state) const
{
    const auto atAddress = m_byAddress.find(state.record.address);
    if (atAddress == m_byAddress.end() || state.record.startedAtMs == 0)
        return false;
    return std::any_of(atAddress->second.begin(), atAddress->second.end(),
        [&](const endpoint_id& other) { return m_endpoints.at(other).record.startedAtMs > state.record.startedAtMs; });
}

void endpoint_fleet::remove(instant now, const endpoint_id& endpoint)
{
    const auto found = m_endpoints.find(endpoint);
    if (found == m_endpoints.end())
        return;
    const bool registryUnsettled = m_registryLost || (m_registryRegainedAt && now - *m_registryRegainedAt < m_settings.lapseGracePeriod);
    if (registryUnsettled && !found->second.record.leaving) {
        found->second.lapsedAt = now;
        return;
    }
    m_departed.recordUnlisted(now, found->second.record);
    erase(endpoint);
}

void endpoint_fleet::replaceAll(instant now, std::span<const endpoint_record> records)
{
    std::set<endpoint_id> listed;
    for (const endpoint_record& record : records) {
        listed.insert(record.id);
        addOrUpdate(now, record);
    }
    std::vector<endpoint_id> missing;
    for (const auto& [id, state] : m_endpoints) {
        if (!listed.contains(id) && !state.lapsedAt)
            missing.push_back(id);
    }
    for (const endpoint_id& id : missing)
        remove(now, id);
}

void endpoint_fleet::onRegistryLost(instant) { m_registryLost = true; }

void endpoint_fleet::onRegistryRegained(instant now)
{
    m_registryLost = false;
    m_registryRegainedAt = now;
}

// Endpoints that registered after the copy was made are missing in it until they write their rows again.
void endpoint_fleet::onRegistryRestored(instant now)
{
    m_departed.onStoreRestored(now);
    m_registryRegainedAt = now;
}

bool endpoint_fleet::recordLeaving(instant now, const endpoint_id& endpoint)
{
    const endpoint_state* const state = find(endpoint);
    return state != nullptr && m_departed.recordLeaving(now, state->record);
}

bool endpoint_fleet::recordLimit(instant now, const endpoint_id& endpoint, instant sentAt, const limit_statement& statement)
{
    const endpoint_state* const state = find(endpoint);
    return state != nullptr && m_limits.recordStatement(now, endpoint, state->record.startedAtMs, sentAt, statement);
}

endpoint_limits::told_outcome endpoint_fleet::recordToldLimit(instant now, const endpoint_limit_record& record)
{
    const endpoint_state* const state = find(record.endpoint);
    if (state == nullptr || state->record.startedAtMs != record.startedAtMs)
        return endpoint_limits::told_outcome::Known;
    return m_limits.recordTold(now, record);
}

void endpoint_fleet::setZonesOutOfService(instant now, std::set<availability_zone_id> zones)
{
    for (auto& [id, state] : m_endpoints) {
        if (m_zonesOutOfService.contains(state.record.zone) && !zones.contains(state.record.zone))
            beginPace(state, now);
    }
    m_zonesOutOfService = std::move(zones);
}

std::vector<endpoint_id> endpoint_fleet::removeLapsed(instant now)
{
    m_departed.removeExpired(now);
    std::vector<endpoint_id> expired;
    if (m_registryLost || !m_registryRegainedAt || now - *m_registryRegainedAt < m_settings.lapseGracePeriod)
        return expired;
    for (const auto& [id, state] : m_endpoints) {
        if (state.lapsedAt)
            expired.push_back(id);
    }
    for (const endpoint_id& id : expired) {
        m_departed.recordUnlisted(now, m_endpoints.at(id).record);
        erase(id);
    }
    return expired;
}

std::optional<endpoint_id> endpoint_fleet::latestAtAddress(std::string_view address) const
{
    const auto atAddress = m_byAddress.find(address);
    if (atAddress == m_byAddress.end() || atAddress->second.empty())
        return std::nullopt;
    return *std::max_element(atAddress->second.begin(), atAddress->second.end(), [this](const endpoint_id& left, const endpoint_id& right) {
        return m_endpoints.at(left).record.startedAtMs < m_endpoints.at(right).record.startedAtMs;
    });
}

std::string endpoint_fleet::addressOf(const endpoint_id& endpoint) const
{
    const auto found = m_endpoints.find(endpoint);
    return found == m_endpoints.end() ? std::string() : found->second.record.address;
}

service_id endpoint_fleet::serviceOf(const endpoint_id& endpoint) const
{
    const auto found = m_endpoints.find(endpoint);
    return found == m_endpoints.end() ? service_id() : found->second.record.service;
}

std::uint64_t endpoint_fleet::startedAtMs(const endpoint_id& endpoint) const
{
    const auto found = m_endpoints.find(endpoint);
    return found == m_endpoints.end() ? 0 : found->second.record.startedAtMs;
}

std::optional<endpoint_id> endpoint_fleet::atAddress(std::string_view address, std::uint64_t startedAtMs) const
{
    const auto listed = m_byAddress.find(address);
    if (listed == m_byAddress.end())
        return std::nullopt;
    const auto found = std::find_if(listed->second.begin(), listed->second.end(),
        [&](const endpoint_id& endpoint) { return m_endpoints.at(endpoint).record.startedAtMs == startedAtMs; });
    return found == listed->second.end() ? std::nullopt : std::optional(*found);
}

void endpoint_fleet::setSubset(std::set<std::string> reporting, std::set<std::string> subscribed)
{
    m_reporting = std::move(reporting);
    m_subscribed = std::move(subscribed);
    for (auto& [id, state] : m_endpoints)
        state.source = loadSourceOf(state.record.address);
}

endpoint_fleet::load_source endpoint_fleet::loadSourceOf(const std::string& address) const
{
    if (m_subscribed.contains(address))
        return load_source::Subscription;
    return m_reporting.contains(address) ? load_source::None : load_source::OwnRequests;
}

service_load endpoint_fleet::loadOf(instant now, const service_id& service) const
{
    service_load load;
    double reportedSlots = 0;
    for (const auto& [id, state] : m_endpoints) {
        // The slots of an endpoint that names a limit, or asked for a pause, can't be used.
        const bool isUsable = state.record.service == service && isInService(state, now) && !isReplaced(state) && now >= state.pausedUntil;
        if (!isUsable || m_limits.isLimited(now, id))
            continue;
        load.slots += state.record.slots;
        if (!hasFreshReport(state, now))
            continue;
        reportedSlots += state.record.slots;
        load.requests += state.report->running + state.report->waiting;
    }
    load.isReported = reportedSlots > 0;
    if (load.isReported)
        load.requests *= load.slots / reportedSlots;
    load.slotTime = meanAnswerTime(service);
    return load;
}

} // namespace appleramp
