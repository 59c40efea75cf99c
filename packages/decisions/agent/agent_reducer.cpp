#include "decisions/agent/agent_reducer.h"

#include <algorithm>

namespace appleramp {

namespace {

constexpr duration tickInterval = std::chrono::milliseconds(50);
constexpr duration probeInterval = std::chrono::milliseconds(500);
// A stopping agent stays up so long after its last attempt, so that entries can still ask for missing response frames, and so long after it was
// asked to stop, so that it refuses what entries sent before they heard of it.
constexpr duration lingerTime = std::chrono::seconds(2);

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
        self.m_gate.addEntry(link, context.now);
        self.sendConfiguration(context, link, 0);
        if (auto records = self.m_suspects.allRecords(); !records.empty())
            context.send(link, suspect_news { std::move(records) });
    }
    void operator()(const heartbeat& message) const { context.send(link, heartbeat_ack { message.sequence }); }
    void operator()(const slot_demand& message) const { self.m_gate.updateDemand(link, message, context.now); }
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
        if (message.inquiry > 0)
            self.m_configurationRefresh.recordAnswer(message.inquiry);
    }
    void operator()(const configuration_request& message) const
    {
        // After a pause this agent's own configuration may be stale until a peer has confirmed it.
        if (!self.m_configurationRefresh.isPending())
            self.sendConfiguration(context, link, message.have, message.inquiry);
    }
    void operator()(const suspect_news& message) const
    {
        for (const auto& record : message.records)
            self.m_suspects.merge(record, context.now);
    }
    // Ignores messages that are addressed to entries.
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
        greeting.instance = context.identity.instance;
        greeting.role = process_role::Agent;
        greeting.zone = context.identity.zone;
        greeting.endpoint = context.identity.endpoint;
        context.send(event.link, greeting);
    }
    void operator()(const link_closed& event) const
    {
        self.m_entries.erase(event.link);
        self.m_gate.removeEntry(event.link);
        self.m_runner.linkClosed(context, event.link);
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
    void operator()(const stop_requested& /*event*/) const
    {
        if (!self.m_stoppingSince)
            self.m_stoppingSince = context.now;
    }
    void operator()(const engine_head& event) const { self.m_runner.engineHead(context, event); }
    void operator()(const engine_data& event) const { self.m_runner.engineData(context, event); }
    void operator()(const engine_end& event) const { self.m_runner.engineEnd(context, event); }
    void operator()(const engine_failed& event) const { self.m_runner.engineFailed(context, event); }
    void operator()(const engine_probed& event) const
    {
        self.m_gate.updateEndpointReport(event);
        self.m_runner.engineProbed(context, event);
    }
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
    const agent_context context { event.at, m_identity, m_configuration, m_gate, m_suspects, m_entries, m_traceIds, effects };
    const auto previousVersion = m_configuration.version();
    m_configurationRefresh.recordEvent(event.at);
    m_gate.setPaused(m_configurationRefresh.isPending());
    std::visit(event_visitor { *this, context }, event.body);
    afterEvent(context, previousVersion);
    return effects;
}

void agent_reducer::afterEvent(const agent_context& context, configuration_version previousVersion)
{
    m_gate.setClosed(isOutOfService(context));
    m_gate.setPaused(m_configurationRefresh.isPending());
    if (m_configuration.version() > previousVersion) {
        context.recordDecision(decision_kind::ConfigurationAdopted, "configuration",
            "version " + std::to_string(m_configuration.version()));
    }
    if (context.now >= m_nextTick)
        tick(context);
    sendConfigurationInquiries(context);
    m_runner.startWaitingAlone(context);
    m_gate.setExclusive(m_runner.needsExclusiveEndpoint());
    context.broadcastSuspects();
    sendGrants(context);
}

void agent_reducer::tick(const agent_context& context)
{
    m_nextTick = context.now + tickInterval;
    m_runner.removeExpired(context);
    m_suspects.removeExpired(context.now);
    m_gate.detectLateFirstTokens(context.now);
    if (context.now >= m_nextProbe) {
        m_nextProbe = context.now + probeInterval;
        context.effects.emplace_back(probe_engine {});
    }
    if (mayStop(context))
        context.effects.emplace_back(stop_process {});
}

bool agent_reducer::mayStop(const agent_context& context) const
{
    if (!m_stoppingSince || m_runner.runningCount() > 0)
        return false;
    return std::max(*m_stoppingSince, m_runner.lastAttemptEnd()) + lingerTime <= context.now;
}

void agent_reducer::sendGrants(const agent_context& context)
{
    for (const auto& [link, grant] : m_gate.updateGrants(context.now))
        context.send(link, grant);
}

void agent_reducer::sendConfigurationInquiries(const agent_context& context)
{
    const auto inquiry = m_configurationRefresh.takeDueInquiry(context.now);
    if (inquiry == 0)
        return;
    for (const auto link : m_entries)
        context.send(link, configuration_request { m_configuration.version(), inquiry });
}

void agent_reducer::sendConfiguration(const agent_context& context, link_number link, configuration_version knownVersion,
    std::uint64_t inquiry)
{
    if (m_configuration.version() <= knownVersion && inquiry == 0)
        return;
    configuration_news news;
    news.inquiry = inquiry;
    news.changes = m_configuration.changesSince(knownVersion);
    if (news.changes.empty() && m_configuration.version() > knownVersion)
        news.document = m_configuration.current();
    context.send(link, std::move(news));
}

bool agent_reducer::isOutOfService(const agent_context& context) const
{
    const auto& configuration = m_configuration.current();
    return m_stoppingSince || configuration.zonesOut.contains(context.identity.zone)
        || configuration.instancesOut.contains(context.identity.instance);
}

} // namespace appleramp
