#pragma once

#include "decisions/admission/slot_gate.h"
#include "decisions/agent/attempt_runner.h"
#include "decisions/configuration/configuration_register.h"
#include "decisions/detection/news_refresh.h"
#include "decisions/suspects/suspect_registry.h"
#include "decisions/tracing/trace_id_generator.h"

#include <set>

namespace appleramp {

// Everything an agent decides: one event in, effects out. It is the only one that gives its endpoint work.
class agent_reducer {
public:
    explicit agent_reducer(agent_identity identity);

    agent_effects apply(const agent_event& event);
    // When a time_passed event is due at the latest.
    instant nextWakeUp() const { return m_nextTick; }

    const fleet_configuration& configuration() const { return m_configuration.current(); }
    const slot_gate& gate() const { return m_gate; }

private:
    struct event_visitor;
    struct message_visitor;

    void afterEvent(const agent_context& context, configuration_version before);
    void tick(const agent_context& context);
    void sendGrants(const agent_context& context);
    void sendNews(const agent_context& context, link_number link, configuration_version have, std::uint64_t inquiry = 0);
    void askAround(const agent_context& context);
    bool isDone(const agent_context& context) const;
    bool isOutOfService(const agent_context& context) const;

    agent_identity m_identity;
    configuration_register m_configuration;
    slot_gate m_gate;
    news_refresh m_refresh;
    suspect_registry m_suspects;
    attempt_runner m_runner;
    trace_id_generator m_traceIds;
    std::set<link_number> m_entries;
    bool m_leaving = false;
    instant m_nextTick;
    instant m_nextProbe;
};

} // namespace appleramp
