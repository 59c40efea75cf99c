#include "decisions/agent/agent_reducer.h"

namespace appleramp {

namespace {

constexpr duration tickInterval = std::chrono::milliseconds(50);
constexpr duration probeInterval = std::chrono::milliseconds(500);
constexpr duration grantInterval = std::chrono::milliseconds(500);

} // namespace

struct agent_reducer::message_visitor {
    agent_reducer& self;
    const agent_context& context;
    link_number link;

    void operator()(const hello& message) const
    {
        if (message.role != process_role::Entry)
            return;
        self.m_entries.insert(link);
        self.m_gate.entryJoined(link);
        self.sendNews(context, link, 0);
        self.sendGrants(context);
    }
    void operator()(const heartbeat& message) const { context.send(link, heartbeat_ack { message.sequence }); }
    void operator()(const slot_demand& message) const { self.m_gate.demanded(link, message.wanted); }
    void operator()(const start_attempt& message) const { self.m_runner.start(context, link, message); }
    void operator()(const cancel_attempt& message) const { self.m_runner.cancel(context, message.attempt); }
    void operator()(const resume_attempt& message) const { self.m_runner.resume(context, link, message); }
    void operator()(const query_attempt& message) const { self.m_runner.query(context, link, message); }
    void operator()(const request_key_block& message) const { self.m_runner.grantKeys(context, link, message); }
    void operator()(const configuration_news& message) const
    {
        if (message.document)
            context.configuration.adopt(*message.document);
        context.configuration.adopt(message.changes);
    }
    void operator()(const configuration_request& message) const { self.sendNews(context, link, message.have); }
    // What only entries receive is of no meaning here.
    template <typename Other>
    void operator()(const Other& /*message*/) const
    {
    }
};

struct agent_reducer::event_visitor {
    agent_reducer& self;
    const agent_context& context;

    void operator()(const link_opened& event) const
    {
        hello greeting;
        greeting.instance = context.self.instance;
        greeting.role = process_role::Agent;
        greeting.zone = context.self.zone;
        greeting.endpoint = context.self.endpoint;
        context.send(event.link, greeting);
    }
    void operator()(const link_closed& event) const
    {
        self.m_entries.erase(event.link);
        self.m_gate.entryLeft(event.link);
    }
    void operator()(const message_received& event) const
    {
        if (event.envelope.configuration > context.configuration.version())
            context.send(event.link, configuration_request { context.configuration.version() });
        std::visit(message_visitor { self, context, event.link }, event.envelope.message);
    }
    void operator()(const platform_replied& /*event*/) const { }
    void operator()(const instances_listed& /*event*/) const { }
    void operator()(const time_passed& /*event*/) const { }
    void operator()(const stop_requested& /*event*/) const { self.m_leaving = true; }
    void operator()(const engine_head& event) const { self.m_runner.engineHead(context, event); }
    void operator()(const engine_data& event) const { self.m_runner.engineData(context, event); }
    void operator()(const engine_end& event) const { self.m_runner.engineEnd(context, event); }
    void operator()(const engine_failed& event) const { self.m_runner.engineFailed(context, event); }
    void operator()(const engine_probed& event) const { self.m_gate.probed(event); }
};

agent_reducer::agent_reducer(agent_identity identity)
    : m_identity(std::move(identity))
    , m_gate(m_identity.limits)
    , m_traceIds(m_identity.life)
{
}

agent_effects agent_reducer::apply(const agent_event& event)
{
    agent_effects effects;
    const agent_context context { event.at, m_identity, m_configuration, m_gate, m_traceIds, effects };
    const auto before = m_configuration.version();
    const auto capacityBefore = m_gate.capacity();
    std::visit(event_visitor { *this, context }, event.body);
    m_gate.setClosed(isOutOfService(context));
    if (m_gate.capacity() != capacityBefore)
        sendGrants(context);
    afterEvent(context, before);
    return effects;
}

void agent_reducer::afterEvent(const agent_context& context, configuration_version before)
{
    if (m_configuration.version() > before) {
        context.decide(decision_kind::ConfigurationAdopted, "configuration",
            "version " + std::to_string(m_configuration.version()));
        sendGrants(context);
    }
    if (context.now >= m_nextTick)
        tick(context);
}

void agent_reducer::tick(const agent_context& context)
{
    m_nextTick = context.now + tickInterval;
    m_runner.forgetOld(context);
    if (context.now >= m_nextProbe) {
        m_nextProbe = context.now + probeInterval;
        context.effects.emplace_back(probe_engine {});
    }
    if (context.now >= m_nextGrant)
        sendGrants(context);
    if (m_leaving && m_runner.running() == 0)
        context.effects.emplace_back(stop_process {});
}

void agent_reducer::sendGrants(const agent_context& context)
{
    m_nextGrant = context.now + grantInterval;
    for (const auto& [link, grant] : m_gate.grants())
        context.send(link, grant);
}

void agent_reducer::sendNews(const agent_context& context, link_number link, configuration_version have)
{
    if (m_configuration.version() <= have)
        return;
    configuration_news news;
    news.changes = m_configuration.changesSince(have);
    if (news.changes.empty())
        news.document = m_configuration.current();
    context.send(link, std::move(news));
}

bool agent_reducer::isOutOfService(const agent_context& context) const
{
    const auto& configuration = m_configuration.current();
    return m_leaving || configuration.zonesOut.contains(context.self.zone)
        || configuration.instancesOut.contains(context.self.instance);
}

} // namespace appleramp
