#pragma once

#include "decisions/configuration/configuration_register.h"
#include "decisions/configuration/configuration_writer.h"
#include "decisions/detection/news_refresh.h"
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

// Everything an entry decides: one event in, effects out. It composes the parts and hands each event to those that it
// concerns; it does no I/O and reads no clock.
class entry_reducer {
public:
    explicit entry_reducer(entry_identity identity);

    entry_effects apply(const entry_event& event);
    // When a time_passed event is due at the latest.
    instant nextWakeUp() const { return m_nextTick; }

    const fleet_configuration& configuration() const { return m_configuration.current(); }

private:
    // One overload for each event and each message.
    struct event_visitor;
    struct message_visitor;

    void afterEvent(const entry_context& context, configuration_version before);
    void sendNews(const entry_context& context, link_number link, configuration_version have,
        std::uint64_t inquiry = 0);
    void sendSuspects(const entry_context& context);
    void askAround(const entry_context& context);
    void tick(const entry_context& context);
    void answerAddresses(const entry_context& context, const addresses_requested& request);
    // True if no endpoint would be left in service without this zone.
    bool isLastZone(const availability_zone_id& zone) const;
    void refuseLastZone(const entry_context& context, request_number number) const;
    void answerStatus(const entry_context& context, request_number number);

    entry_identity m_identity;
    configuration_register m_configuration;
    configuration_writer m_writer;
    endpoint_directory m_endpoints;
    demand_planner m_demands;
    suspect_registry m_suspects;
    news_refresh m_refresh;
    link_directory m_links;
    address_directory m_addresses;
    // As the newest instance list has it; an entry that has seen none polls.
    bool m_isPoller = true;
    request_router m_router;
    key_pool m_keyPool;
    operation_number m_lastOperation = 0;
    trace_id_generator m_traceIds;
    instant m_nextTick;
    instant m_nextListing;
    // Set once the process was asked to stop: callers may come until then with addresses they hold.
    std::optional<instant> m_servesUntil;
    instant m_lastAddressAnswer;
};

} // namespace appleramp
