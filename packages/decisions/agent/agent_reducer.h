#pragma once

#include "decisions/admission/slot_gate.h"
#include "decisions/agent/attempt_runner.h"
#include "decisions/configuration/configuration_register.h"
#include "decisions/detection/configuration_refresh.h"
#include "decisions/suspects/suspect_registry.h"
#include "decisions/tracing/trace_id_generator.h"

#include <optional>
#include <set>

namespace appleramp {

// The deterministic state machine of an agent, the process that stands in front of one endpoint and alone sends it
// requests: takes one event and returns the effects to carry out. It does no I/O and reads no clock, so a recorded run
// can be replayed.
class agent_reducer {
public:
    explicit agent_reducer(agent_identity identity);

    agent_effects apply(const agent_event& event);
    // Time by which apply() must have been called again, with a time_passed event if nothing else happens.
    instant nextWakeUp() const { return m_nextTick; }

    const fleet_configuration& configuration() const { return m_configuration.current(); }
    const slot_gate& gate() const { return m_gate; }

private:
    // Call operators for each type of event and of link message.
    struct event_visitor;
    struct message_visitor;

    // Runs after every event: updates the slot gate, runs the tick if due and sends changed grants.
    void afterEvent(const agent_context& context, configuration_version previousVersion);
    void tick(const agent_context& context);
    void sendGrants(const agent_context& context);
    // Sends the changes since `knownVersion`, or the whole document if the changes are no longer available.
    // Sends nothing if the peer is up to date, unless it made an inquiry, which is always answered.
    void sendConfiguration(const agent_context& context, link_number link, configuration_version knownVersion, std::uint64_t inquiry = 0);
    // After a pause of this process, asks all entries for the current configuration.
    void sendConfigurationInquiries(const agent_context& context);
    // True if the agent was asked to stop, runs nothing and has stayed lingerTime after that and after its last attempt.
    bool mayStop(const agent_context& context) const;
    bool isOutOfService(const agent_context& context) const;

    agent_identity m_identity;
    configuration_register m_configuration;
    slot_gate m_gate;
    configuration_refresh m_configurationRefresh;
    suspect_registry m_suspects;
    attempt_runner m_runner;
    trace_id_generator m_traceIds;
    // Links to entries that have sent a hello.
    std::set<link_number> m_entries;
    std::optional<instant> m_stoppingSince;
    instant m_nextTick;
    instant m_nextProbe;
};

} // namespace appleramp
