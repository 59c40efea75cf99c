#pragma once

#include "decisions/configuration/configuration_register.h"
#include "decisions/configuration/configuration_writer.h"
#include "decisions/detection/configuration_refresh.h"
#include "decisions/entry/entry_context.h"
#include "decisions/entry/request_router.h"
#include "decisions/keys/key_pool.h"
#include "decisions/membership/address_directory.h"
#include "decisions/membership/link_directory.h"
#include "decisions/placement/demand_planner.h"
#include "decisions/placement/endpoint_directory.h"
#include "decisions/suspects/suspect_registry.h"
#include "decisions/tracing/trace_id_generator.h"

#include <memory>
#include <optional>

namespace appleramp {

// The deterministic state machine of an entry process: takes one event and returns the effects to carry out. It owns
// the components (routing, keys, configuration, membership) and dispatches each event to those that need it. It does
// no I/O and reads no clock, so a recorded run can be replayed.
class entry_reducer {
public:
    explicit entry_reducer(entry_identity identity);

    entry_effects apply(const entry_event& event);
    // Time by which apply() must have been called again, with a time_passed event if nothing else happens.
    instant nextWakeUp() const { return m_nextTick; }
    // The answer to a request that comes after the time in which a stopping entry serves.
    static problem stoppingProblem();

    const fleet_configuration& configuration() const { return m_configuration.current(); }

private:
    // Call operators for each type of event and of link message.
    struct event_visitor;
    struct message_visitor;

    // Runs after every event: propagates a changed configuration, runs the tick if due and updates slot demand.
    void afterEvent(const entry_context& context, configuration_version previousVersion);
    // Sends the changes since `knownVersion`, or the whole document if the changes are no longer available.
    // Sends nothing if the peer is up to date, unless it made an inquiry, which is always answered.
    void sendConfiguration(const entry_context& context, link_number link, configuration_version knownVersion,
        std::uint64_t inquiry = 0);
    // Sends suspect records whose level has risen to all peers.
    void broadcastSuspects(const entry_context& context);
    // After a pause of this process, asks all peers for the current configuration.
    void sendConfigurationInquiries(const entry_context& context);
    void tick(const entry_context& context);
    void replyAddresses(const entry_context& context, const addresses_requested& request);
    // True if taking this zone out of service would leave no endpoint in service.
    bool isLastZone(const availability_zone_id& zone) const;
    void refuseLastZone(const entry_context& context, request_number number) const;
    void replyStatus(const entry_context& context, request_number number);

    entry_identity m_identity;
    configuration_register m_configuration;
    configuration_writer m_writer;
    endpoint_directory m_endpoints;
    demand_planner m_demands;
    suspect_registry m_suspects;
    configuration_refresh m_configurationRefresh;
    link_directory m_links;
    address_directory m_addresses;
    // Whether this entry polls the configuration table, by the latest instance list. True until a list has arrived.
    bool m_isPoller = true;
    request_router m_router;
    key_pool m_keyPool;
    operation_number m_lastOperation = 0;
    trace_id_generator m_traceIds;
    instant m_nextTick;
    instant m_nextInstanceListing;
    // Set when the process is asked to stop. Until this time callers may still use the addresses that the entry last
    // gave out, so it keeps serving. What comes later is refused, so that the process comes to its end under load.
    std::optional<instant> m_drainUntil;
    instant m_lastAddressReply;
};

} // namespace appleramp
