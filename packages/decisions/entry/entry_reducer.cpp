#include "decisions/entry/entry_reducer.h"

#include "wire/configuration_codec.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace appleramp {

namespace {

constexpr duration tickInterval = std::chrono::milliseconds(50);
constexpr duration listingInterval = std::chrono::seconds(1);
// Time until the other entries leave a stopping one out of their answers, and callers have asked again.
constexpr duration departureKnownAfter = std::chrono::seconds(2);

} // namespace

struct entry_reducer::message_visitor {
    entry_reducer& self;
    const entry_context& context;
    link_number link;
    incarnation sender;

    void operator()(const hello& message) const
    {
        self.m_links.helloReceived(context, link, sender, message);
        self.sendConfiguration(context, link, 0);
        if (auto records = self.m_suspects.allRecords(); !records.empty())
            context.send(link, suspect_news { std::move(records) });
        self.m_router.agentConnected(context, link);
    }
    void operator()(const heartbeat& message) const { context.send(link, heartbeat_ack { message.sequence }); }
    void operator()(const slot_grant& message) const
    {
        context.endpoints.applyGrant(link, message, context.now);
        self.m_router.placeWaiting(context);
    }
    void operator()(const attempt_refused& message) const { self.m_router.attemptRefused(context, link, message); }
    void operator()(const attempt_failed& message) const { self.m_router.attemptFailed(context, link, message); }
    void operator()(const attempt_report& message) const { self.m_router.attemptReported(context, link, message); }
    void operator()(const response_head& message) const { self.m_router.responseFrameReceived(context, message); }
    void operator()(const response_body& message) const { self.m_router.responseFrameReceived(context, message); }
    void operator()(const response_end& message) const { self.m_router.responseFrameReceived(context, message); }
    void operator()(const grant_key_block& message) const { self.m_keyPool.addBlock(context, link, message); }
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
        // After a pause this entry's own configuration may be stale until a peer has confirmed it.
        if (!self.m_configurationRefresh.isPending())
            self.sendConfiguration(context, link, message.have, message.inquiry);
    }
    void operator()(const suspect_news& message) const
    {
        for (const auto& record : message.records)
            self.m_suspects.merge(record, context.now);
    }
    // Ignores messages that are addressed to agents.
    template <typename Other>
    void operator()(const Other& /*message*/) const
    {
    }
};

struct entry_reducer::event_visitor {
    entry_reducer& self;
    const entry_context& context;

    void operator()(const link_opened& event) const { self.m_links.linkOpened(context, event); }
    void operator()(const link_closed& event) const
    {
        self.m_links.linkClosed(context, event);
        self.m_keyPool.linkClosed(event.link);
        self.m_router.linkClosed(context, event.link);
    }
    void operator()(const message_received& event) const
    {
        if (event.envelope.configuration > context.configuration.version())
            context.send(event.link, configuration_request { context.configuration.version() });
        std::visit(message_visitor { self, context, event.link, event.envelope.sender }, event.envelope.message);
    }
    void operator()(const platform_replied& event) const
    {
        if (self.m_writer.owns(event.operation))
            self.m_writer.handleReply(context, event);
        else if (self.m_router.ownsOperation(event.operation))
            self.m_router.platformReplied(context, event);
    }
    void operator()(const instances_listed& event) const
    {
        self.m_links.openLinksToAgents(context, event.instances);
        self.m_addresses.setInstances(event.instances);
        self.m_isPoller = self.m_addresses.isPoller(context.identity.instance);
    }
    void operator()(const time_passed& /*event*/) const { }
    void operator()(const stop_requested& /*event*/) const
    {
        if (!self.m_drainUntil)
            self.m_drainUntil = std::max(context.now + departureKnownAfter,
                self.m_lastAddressReply + context.configuration.current().defaults.addressValidity);
    }
    void operator()(const request_received& event) const
    {
        if (self.m_drainUntil && context.now >= *self.m_drainUntil)
            context.effects.emplace_back(reply_problem { event.number, stoppingProblem() });
        else
            self.m_router.requestReceived(context, event);
    }
    void operator()(const caller_left& event) const
    {
        self.m_keyPool.callerLeft(event.number);
        self.m_router.callerLeft(context, event.number);
    }
    void operator()(const addresses_requested& event) const { self.replyAddresses(context, event); }
    void operator()(const keys_requested& event) const
    {
        self.m_keyPool.requestKey(context, event);
    }
    void operator()(const change_requested& event) const
    {
        const auto* change = std::get_if<take_zone_out>(&event.change);
        if (change && self.isLastZone(change->zone))
            self.refuseLastZone(context, event.number);
        else
            self.m_writer.submitChange(context, event);
    }
    void operator()(const status_requested& event) const { self.replyStatus(context, event.number); }
    void operator()(const configuration_requested& event) const
    {
        const auto text = encodeConfiguration(context.configuration.current());
        context.effects.emplace_back(reply_document { event.number, 200, text });
    }
};

problem entry_reducer::stoppingProblem()
{
    return { 503, execution::NotStarted, "stopping", "this entry stops; send the request to another one", duration::zero() };
}

entry_reducer::entry_reducer(entry_identity identity)
    : m_identity(std::move(identity))
    , m_router(m_identity.life)
    , m_traceIds(m_identity.life)
{
}

entry_effects entry_reducer::apply(const entry_event& event)
{
    entry_effects effects;
    const entry_context context { event.at, m_identity, m_configuration, m_endpoints, m_demands, m_suspects,
        m_configurationRefresh, m_lastOperation, m_traceIds, effects };
    const auto previousVersion = m_configuration.version();
    m_configurationRefresh.recordEvent(event.at);
    std::visit(event_visitor { *this, context }, event.body);
    afterEvent(context, previousVersion);
    return effects;
}

void entry_reducer::afterEvent(const entry_context& context, configuration_version previousVersion)
{
    if (m_configuration.version() > previousVersion) {
        for (const auto& [link, peer] : m_links.peers())
            sendConfiguration(context, link, previousVersion);
    }
    if (context.now >= m_nextTick)
        tick(context);
    sendConfigurationInquiries(context);
    broadcastSuspects(context);
    m_demands.sendDemands(context, m_router.waitingByService());
}

void entry_reducer::sendConfigurationInquiries(const entry_context& context)
{
    const auto inquiry = m_configurationRefresh.takeDueInquiry(context.now);
    if (inquiry == 0)
        return;
    for (const auto& [link, peer] : m_links.peers())
        context.send(link, configuration_request { m_configuration.version(), inquiry });
}

void entry_reducer::broadcastSuspects(const entry_context& context)
{
    const auto updates = m_suspects.takeUpdates();
    if (updates.empty())
        return;
    for (const auto& [link, peer] : m_links.peers())
        context.send(link, suspect_news { updates });
}

void entry_reducer::tick(const entry_context& context)
{
    m_nextTick = context.now + tickInterval;
    m_router.expireRequests(context);
    m_router.placeWaiting(context);
    m_keyPool.rejectOverdue(context);
    m_suspects.removeExpired(context.now);
    m_writer.poll(context, m_isPoller);
    if (context.now >= m_nextInstanceListing) {
        m_nextInstanceListing = context.now + listingInterval;
        context.effects.emplace_back(list_instances {});
    }
    if (m_drainUntil && context.now >= *m_drainUntil && m_router.size() == 0)
        context.effects.emplace_back(stop_process {});
}

void entry_reducer::sendConfiguration(const entry_context& context, link_number link, configuration_version knownVersion,
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

void entry_reducer::replyAddresses(const entry_context& context, const addresses_requested& request)
{
    m_lastAddressReply = context.now;
    const auto& configuration = m_configuration.current();
    auto addresses = nlohmann::json::array();
    for (const auto& entry : m_addresses.shardOf(request.team, configuration)) {
        const bool isLeaving = m_drainUntil && entry.instance == m_identity.instance;
        if (!isLeaving)
            addresses.push_back({ { "address", entry.callerAddress }, { "availability_zone", entry.zone.str() } });
    }
    const auto validity = std::chrono::duration_cast<std::chrono::milliseconds>(configuration.defaults.addressValidity);
    const nlohmann::json answer { { "addresses", addresses }, { "valid_for_ms", validity.count() } };
    context.effects.emplace_back(reply_document { request.number, 200, answer.dump() });
}

bool entry_reducer::isLastZone(const availability_zone_id& zone) const
{
    const auto& out = m_configuration.current().zonesOut;
    if (out.contains(zone))
        return false;
    const auto& endpoints = m_endpoints.all();
    return !endpoints.empty() && std::all_of(endpoints.begin(), endpoints.end(), [&](const auto& item) {
        return item.second.zone == zone || out.contains(item.second.zone);
    });
}

void entry_reducer::refuseLastZone(const entry_context& context, request_number number) const
{
    context.effects.emplace_back(reply_problem { number,
        { 409, execution::NotRun, "last_zone",
            "no endpoint would be left in service; take another zone in first, or take instances out one by one",
            std::nullopt } });
}

void entry_reducer::replyStatus(const entry_context& context, request_number number)
{
    auto endpoints = nlohmann::json::array();
    for (const auto& [link, endpoint] : m_endpoints.all()) {
        endpoints.push_back({ { "endpoint", endpoint.description.endpoint.str() },
            { "availability_zone", endpoint.zone.str() }, { "slots", endpoint.slots },
            { "in_flight", endpoint.inFlight }, { "cold", endpoint.cold } });
    }
    const nlohmann::json answer { { "instance", m_identity.instance.str() },
        { "configuration_version", m_configuration.version() }, { "requests", m_router.size() },
        { "waiting", m_router.waiting() }, { "leaving", m_drainUntil.has_value() }, { "endpoints", endpoints } };
    context.effects.emplace_back(reply_document { number, 200, answer.dump() });
}

} // namespace appleramp
