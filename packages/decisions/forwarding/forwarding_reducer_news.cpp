#include "decisions/forwarding/forwarding_reducer.h"

#include "decisions/forwarding/durations.h"

#include <algorithm>
#include <utility>

// Handlers of the events that come from the store, the registry, agents and other entries.

namespace appleramp {

void forwarding_reducer::on(const configuration_read& event)
{
    const bool isNewer = event.configuration && event.configuration->version > configurationVersion();
    const bool isOlder = event.configuration && event.configuration->version < configurationVersion();
    if (event.configuration)
        m_trust.onStoreVersion(event.configuration->version, configurationVersion());
    if (isOlder) {
        m_effects.emplace_back(log_decision { "older_configuration_ignored", {},
            { { "version", std::to_string(event.configuration->version) },
                { "in_force", std::to_string(configurationVersion()) } } });
        return;
    }
    if (isNewer) {
        m_routes = std::make_shared<route_table>(*event.configuration);
        findSharedServices();
        m_effects.emplace_back(log_decision { "configuration_adopted", {},
            { { "version", std::to_string(event.configuration->version) },
                { "routes", std::to_string(event.configuration->routes.size()) },
                { "keys_required", m_routes->requiresKeys() ? "true" : "false" },
                { "teams", std::to_string(m_routes->teams().size()) },
                { "unreadable_teams", std::to_string(event.configuration->unreadableTeams) },
                { "age_ms", millisecondsText(event.now - event.readSentAt) } } });
    }
    m_unconfirmedReadAt = std::max(m_unconfirmedReadAt.value_or(event.readSentAt), event.readSentAt);
    confirmConfiguration(event.now);
}

void forwarding_reducer::confirmConfiguration(instant now)
{
    if (m_routes && m_unconfirmedReadAt && m_trust.allowsConfirmation(now, configurationVersion()))
        m_freshness.confirm(*std::exchange(m_unconfirmedReadAt, std::nullopt));
}

void forwarding_reducer::on(const out_of_service_zones_changed& event)
{
    std::string zoneNames;
    for (const availability_zone_id& zone : event.zones)
        zoneNames.append(zoneNames.empty() ? "" : ",").append(zone.str());
    m_fleet.setZonesOutOfService(event.now, event.zones);
    m_effects.emplace_back(log_decision { "zones_out", {}, { { "zones", zoneNames } } });
}

void forwarding_reducer::on(const endpoint_listed& event)
{
    const bool isNew = !m_fleet.contains(event.record.id);
    if (const auto before = m_fleet.latestAtAddress(event.record.address); isNew && before)
        recordGone(event.now, *before, "replaced");
    // An endpoint may start again under its id.
    if (!isNew && event.record.startedAtMs > m_fleet.startedAtMs(event.record.id)) {
        recordGone(event.now, event.record.id, "restarted");
        m_deaths.forget(event.record.id);
    }
    m_fleet.addOrUpdate(event.now, event.record);
    if (isNew || event.record.leaving || event.record.coldFor > duration::zero())
        m_effects.emplace_back(log_decision { event.record.leaving ? "endpoint_leaving" : "endpoint_listed", {},
            { { "endpoint", event.record.id.str() }, { "address", event.record.address },
                { "service", event.record.service.str() }, { "zone", event.record.zone.str() },
                { "cold_for_ms", millisecondsText(event.record.coldFor) } } });
}

void forwarding_reducer::on(const endpoint_unlisted& event)
{
    m_fleet.remove(event.now, event.endpoint);
    m_unreadableLimits.erase(event.endpoint);
    recordGone(event.now, event.endpoint, "registry");
    m_effects.emplace_back(log_decision { "endpoint_unlisted", {},
        { { "endpoint", event.endpoint.str() }, { "kept_for_now", m_fleet.contains(event.endpoint) ? "true" : "false" } } });
}

void forwarding_reducer::on(const registry_read& event)
{
    m_fleet.replaceAll(event.now, event.records);
    m_effects.emplace_back(log_decision { "endpoints_read", {},
        { { "listed", std::to_string(event.records.size()) }, { "known", std::to_string(m_fleet.size()) } } });
}

void forwarding_reducer::on(const registry_access_changed& event)
{
    if (event.reachable) {
        m_fleet.onRegistryRegained(event.now);
        m_storeOutage.onRegained();
    } else {
        m_fleet.onRegistryLost(event.now);
        m_storeOutage.onLost(event.now);
    }
    m_effects.emplace_back(log_decision { event.reachable ? "store_regained" : "store_lost", {}, event.evidence });
}

void forwarding_reducer::on(const registry_restored& event)
{
    m_fleet.onRegistryRestored(event.now);
    m_effects.emplace_back(log_decision { "registry_restored", {}, { { "known", std::to_string(m_fleet.size()) } } });
}

void forwarding_reducer::on(const endpoint_leaving_announced& event) { recordLeaving(event.now, event.endpoint, "answer"); }

void forwarding_reducer::recordLeaving(instant now, const endpoint_id& endpoint, std::string_view source)
{
    if (m_fleet.recordLeaving(now, endpoint))
        m_effects.emplace_back(log_decision { "endpoint_leaving", {}, { { "endpoint", endpoint.str() }, { "source", std::string(source) } } });
}

void forwarding_reducer::on(const endpoint_load_received& event)
{
    m_fleet.recordLoad(event.now, event.load);
    if (const auto endpoint = event.load.leaving ? m_fleet.atAddress(event.load.address, event.load.startedAtMs) : std::nullopt)
        recordLeaving(event.now, *endpoint, "agent");
    recordReportedLimit(event.now, event.load);
    moveStreamsFromSlowEndpoint(event.now, event.load);
}

void forwarding_reducer::on(const load_subset_changed& event)
{
    m_fleet.setSubset(event.reporting, event.subscribed);
    m_effects.emplace_back(log_decision { "load_subset_changed", {},
        { { "reporting", std::to_string(event.reporting.size()) }, { "subscribed", std::to_string(event.subscribed.size()) } } });
}

void forwarding_reducer::on(const entry_presence_received& event)
{
    m_trust.onPeerVersion(event.presence.configuration);
    if (m_peers.recordPresence(event.now, event.presence))
        m_effects.emplace_back(log_decision { "entry_heard", {},
            { { "entry", event.presence.instance.str() }, { "address", event.presence.callerAddress } } });
}

void forwarding_reducer::on(const entry_count_read& event)
{
    m_peers.setListedEntries(event.entries);
    m_fleet.setEntryPosition(static_cast<double>(event.position) / static_cast<double>(std::max<std::size_t>(event.others + 1, 1)));
    m_fleet.setEntries(m_settings.instance, event.names);
    m_trust.onMembersKnown(event.now, event.others > 0);
    confirmConfiguration(event.now);
}

void forwarding_reducer::on(const timer_ticked& event)
{
    confirmConfiguration(event.now);
    m_deaths.removeExpired(event.now);
    refuseNewlyConvicted(event.now);
    shareCrashRecords(event.now);
    storeSuspects(event.now);
    shareLimits(event.now);
    logRestrictions(event.now);
    shareDemand(event.now);
    for (const endpoint_id& gone : m_fleet.removeLapsed(event.now))
        m_effects.emplace_back(log_decision { "endpoint_gone", {}, { { "endpoint", gone.str() } } });
}

} // namespace appleramp
