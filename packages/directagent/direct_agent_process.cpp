#include "directagent/direct_agent_process.h"

#include "datagrams/datagram_codec.h"
#include "datagrams/datagram_socket.h"
#include "datagrams/paced_sender.h"
#include "decisions/groups/choice_reporting.h"
#include "decisions/groups/group_agent.h"
#include "decisions/links/relay_tree.h"
#include "directagent/engine_link.h"
#include "directagent/foreign_engines.h"
#include "membership/member_registration.h"
#include "observe/line_log.h"
#include "ports/platform_adapter.h"
#include "ports/row_store.h"
#include "runtime/process_clock.h"
#include "storefeed/table_follower.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <span>
#include <utility>

namespace appleramp {

namespace {

using udp_endpoint = boost::asio::ip::udp::endpoint;

// Interval of reads of the engine's report; they cost nothing on the engine's own machine.
constexpr duration reportInterval = std::chrono::milliseconds(80);
// Interval of reads of the report while a switch is in progress.
constexpr duration switchingInterval = std::chrono::milliseconds(20);
// Interval of reads of the expert choice counts at ranks that do not report them, and need only their number.
constexpr duration idleChoicesInterval = std::chrono::seconds(2);
// How often the end of the engine is reported, once for each read of its report, since datagrams are lost.
constexpr unsigned deathReports = 5;
// An entry that did not renew its subscription for this long gets no more load messages.
constexpr duration subscriptionLifetime = std::chrono::seconds(5);
// By then all entries that use the endpoint have subscribed, and their number is known.
constexpr duration subscriptionDiscovery = std::chrono::seconds(2);
// Time between two load messages to one entry is this times the number of subscribers, which bounds the bytes that an
// agent sends.
constexpr duration loadIntervalPerEntry = std::chrono::milliseconds(6);
constexpr duration leastLoadInterval = std::chrono::milliseconds(100);
// A broadcast of more bytes than this in all leaves through relays, since the own link would take long for it.
constexpr std::size_t maxDirectBroadcastBytes = 8UL * 1024;
constexpr double bytesPerSecondPerMegabit = 125'000.0;
// Control messages that may leave at once, as the time that the link takes for them.
constexpr double linkBurstSeconds = 0.02;
constexpr double leastLinkBurstBytes = 3000;
// Queued control messages, as the time that they take to leave: older ones are of no use.
constexpr double maxQueueSeconds = 2.0;
// Entries of other zones, which prefer other engines, get only every n-th load message.
constexpr unsigned otherZonesEvery = 2;
// Time between two log lines about datagrams that were dropped because the queue was full.
constexpr duration dropLogInterval = std::chrono::seconds(1);
constexpr duration membersPoll = std::chrono::seconds(20);
// Batches the rows of processes that start together.
constexpr duration membersGap = std::chrono::milliseconds(2500);
// Longer once the process has run for a while: entries announce their addresses to agents, and restarted agents keep
// theirs.
constexpr duration settledMembersGap = std::chrono::seconds(8);
// Processes write their rows again at different times within this one after the store came back from an older copy.
constexpr std::chrono::milliseconds renewalSpread { 1000 };
constexpr duration layoutRetry = std::chrono::seconds(1);
// Fraction of the mean load by which copying an expert must relieve the busiest rank, for each megabyte moved.
constexpr double leastGainPerMegabyte = 4e-6;

} // namespace

class direct_agent_process::implementation {
public:
    implementation(boost::asio::io_context& loop, const process_settings& settings, incarnation life, row_store& store,
        const platform_adapter& platform)
        : m_loop(loop)
        , m_settings(settings)
        , m_store(store)
        , m_platform(platform)
        , m_log({ settings.process.instance, settings.process.zone, life }, {})
        , m_engine(loop, settings.endpoint.address.str())
        , m_news(loop, settings.listen.links.host, settings.listen.links.port,
              [this](const datagram_message& message, const udp_endpoint& from) { onNews(message, from); })
        , m_sender(
              loop, m_news, [] { return now(); }, queueSettings(settings.link))
        , m_tick(loop)
        , m_registration(loop, store, settings.process.instance.str(),
              { false, settings.process.zone, settings.listen.links.str(), settings.endpoint.address.str() })
        , m_agent({}, settings.process.zone.str())
        , m_foreignEngines(loop, platform, m_log, [this](const engine_report& report) {
            if (m_report && report.group == m_report->group)
                handle(silent_rank_read { now(), report.rank });
        })
        , m_seed(life ^ std::hash<std::string> {}(settings.process.instance.str()))
    {
        m_log.write(now(), "started", {}, { { "role", "direct_agent" }, { "engine", m_engine.address() } });
        m_agent.setSingleHold(settings.groups.singleHold);
        m_registration.start();
        next();
    }

    void requestStop()
    {
        m_log.write(now(), "stopped", {}, {});
        m_log.flush();
        m_loop.stop();
    }

private:
    struct load_subscriber {
        availability_zone_id zone;
        instant renewedAt;
    };

    static instant now() { return suspendAwareNow(); }

    static send_queue_settings queueSettings(const link_section& link)
    {
        const double rate = link.rate * bytesPerSecondPerMegabit * link.controlShare;
        return { rate, std::max(rate * linkBurstSeconds, leastLinkBurstBytes), static_cast<std::size_t>(rate * maxQueueSeconds) };
    }

    // --- The engine: one exchange at a time.

    // Starts the due exchange of highest priority, or a timer for the next one.
    void next()
    {
        if (m_engine.isBusy())
            return;
        m_tick.cancel();
        const instant moment = now();
        if (m_order)
            return sendOrder();
        if (m_readDue || moment >= m_nextRead)
            return readReport();
        if (std::exchange(m_listsDue, false))
            return readLists();
        if (moment >= m_nextChoices && m_report && !m_report->group.empty())
            return readChoices();
        m_tick.expires_after(std::max(duration(1), std::min(m_nextRead, m_nextChoices) - moment));
        m_tick.async_wait([this](const boost::system::error_code& cancelled) {
            if (!cancelled)
                next();
        });
    }

    void readReport()
    {
        m_readDue = false;
        m_engine.exchange({ m_platform.reportRequest(m_engine.address()), {} }, engineReadTimeout, [this](const auto& answer) {
            onReport(answer);
            m_nextRead = now() + (m_switching ? switchingInterval : reportInterval);
            m_log.flush();
            next();
        });
    }

    void onReport(const std::optional<http_response>& answer)
    {
        noteLeaving(answer);
        noteLimit(answer);
        auto report = answer && answer->head.status == 200 ? m_platform.readReport(answer->body) : std::nullopt;
        if (report.has_value() != m_report.has_value())
            m_log.write(now(), report ? "engine_regained" : "engine_lost", {}, { { "engine", m_engine.address() } });
        noteDeath(report);
        m_report = std::move(report);
        logDroppedDatagrams();
        if (!m_report)
            return;
        tellLoad();
        if (m_report->group.empty())
            return;
        noteGroupChange();
        followMembersIfNeeded();
        handle(rank_state_read { now(), m_report->rank });
        handle(group_tick { now() });
        m_switching = m_agent.isSwitching();
    }

    // One line at most for each interval, with the datagrams that did not leave in it.
    void logDroppedDatagrams()
    {
        const instant moment = now();
        if (moment - m_dropsLoggedAt < dropLogInterval)
            return;
        m_dropsLoggedAt = moment;
        std::uint64_t dropped = 0;
        duration longestDelay {};
        for (const auto priority : { datagram_priority::Switch, datagram_priority::Status, datagram_priority::Proposal, datagram_priority::Bulk }) {
            const send_queue_counters& counters = m_sender.queue().counters(priority);
            dropped += counters.dropped;
            longestDelay = std::max(longestDelay, counters.longestDelay);
        }
        if (dropped == std::exchange(m_datagramsDropped, dropped))
            return;
        m_log.write(moment, "datagrams_dropped", {},
            { { "dropped", std::to_string(dropped) }, { "queued_bytes", std::to_string(m_sender.queue().queuedBytes()) },
                { "longest_delay_ms", std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(longestDelay).count()) } });
    }

    void noteLeaving(const std::optional<http_response>& answer)
    {
        const bool leaving = answer && m_platform.announcesLeaving(answer->head);
        if (leaving != std::exchange(m_isLeaving, leaving) && leaving)
            m_log.write(now(), "engine_leaving", {}, { { "engine", m_engine.address() } });
    }

    void noteLimit(const std::optional<http_response>& answer)
    {
        const limit_statement limit = answer ? m_platform.namedLimit(answer->head) : limit_not_stated {};
        const auto* const named = std::get_if<request_limit>(&limit);
        const auto rate = named ? std::optional(named->requestsPerSecond) : std::nullopt;
        if (rate != std::exchange(m_namedLimit, rate))
            m_log.write(now(), "engine_limit", {}, { { "engine", m_engine.address() }, { "limit", rate ? std::to_string(*rate) : "none" } });
        m_hasNamedLimit = m_hasNamedLimit || rate;
    }

    // The engine has ended if nothing listens at its address any more, or if another one was started there.
    void noteDeath(const std::optional<engine_report>& report)
    {
        const bool isReplaced = report && m_engineStartedAtMs && report->startedAtMs != *m_engineStartedAtMs;
        if (m_engineStartedAtMs && (isReplaced || m_engine.wasRefused())) {
            m_hasNamedLimit = false;
            m_death = { m_engine.address(), *std::exchange(m_engineStartedAtMs, std::nullopt) };
            m_deathReportsLeft = deathReports;
            m_log.write(now(), "engine_died", {}, { { "engine", m_engine.address() }, { "replaced", isReplaced ? "true" : "false" } });
        }
        if (report)
            m_engineStartedAtMs = report->startedAtMs;
        if (m_deathReportsLeft == 0)
            return;
        --m_deathReportsLeft;
        for (const auto& [entry, known] : m_subscribers)
            m_sender.send(m_death, entry);
    }

    void noteGroupChange()
    {
        const rank_state& rank = m_report->rank;
        const auto state = std::tuple(rank.epoch, rank.groupOpen, rank.mapVersion);
        if (state == m_groupState)
            return;
        m_groupState = state;
        m_log.write(now(), "group_state", {},
            { { "group", m_report->group }, { "epoch", std::to_string(rank.epoch) }, { "open", rank.groupOpen ? "true" : "false" },
                { "map", std::to_string(rank.mapVersion) }, { "pass", std::to_string(rank.pass) } });
    }

    void readLists()
    {
        m_engine.exchange({ m_platform.expertListsRequest(m_engine.address()), {} }, engineReadTimeout, [this](const auto& answer) {
            const auto lists = answer && answer->head.status == 200 ? m_platform.readExpertLists(answer->body) : std::nullopt;
            if (lists)
                handle(expert_lists_read { now(), lists->epoch, lists->mapVersion, lists->experts, lists->preparedVersion, lists->preparedExperts });
            next();
        });
    }

    void readChoices()
    {
        m_nextChoices = now() + (m_agent.reportsChoices() ? choiceReportInterval(m_report->rank.ranks) : idleChoicesInterval);
        m_engine.exchange({ m_platform.expertCountsRequest(m_engine.address()), {} }, engineReadTimeout, [this](const auto& answer) {
            if (answer && answer->head.status == 200)
                handle(choice_totals_read { now(), m_platform.readExpertCounts(answer->body) });
            next();
        });
    }

    void sendOrder()
    {
        const rank_order order = *std::exchange(m_order, std::nullopt);
        m_engine.exchange(m_platform.orderRequest(m_engine.address(), order), engineOrderTimeout, [this, order](const auto& answer) {
            const auto meaning = answer ? m_platform.classifyOrderStatus(answer->head.status) : order_outcome::Unknown;
            m_log.write(now(), "order", {},
                { { "order", std::string(nameOf(order.kind)) }, { "version", std::to_string(order.version) },
                    { "pass", std::to_string(order.pass) }, { "expected_count", std::to_string(order.expectedOrderCount) },
                    { "status", answer ? std::to_string(answer->head.status) : "none" },
                    { "answer", answer && meaning == order_outcome::Refused ? answer->body : "" } });
            if (meaning == order_outcome::Refused)
                handle(rank_order_refused { now(), order });
            m_readDue = true;
            next();
        });
    }

    // --- The group.

    void handle(const group_event& event)
    {
        for (group_effect& effect : m_agent.handle(event))
            std::visit([this](auto& concrete) { carryOut(concrete); }, effect);
    }

    void carryOut(const send_order& effect)
    {
        m_order = effect.order;
        next();
    }

    void carryOut(const read_expert_lists&) { m_listsDue = true; }

    void carryOut(const read_rank_state&)
    {
        m_readDue = true;
        m_switching = true;
        next();
    }

    void carryOut(const read_silent_rank& effect) { m_foreignEngines.read(effect.rank, foreignEngineAddress(effect.rank)); }
    void carryOut(const send_silent_rank_order& effect) { m_foreignEngines.order(effect, foreignEngineAddress(effect.rank)); }

    // The engine of the agent that last sent a message for the rank; empty if that agent's member row is not known.
    std::string foreignEngineAddress(std::uint32_t rank) const
    {
        const auto found = m_rankAddresses.find(rank);
        if (found == m_rankAddresses.end())
            return {};
        const auto member = std::find_if(m_members.begin(), m_members.end(),
            [&](const auto& entry) { return udpEndpoint(entry.second.datagramAddress) == found->second; });
        return member == m_members.end() ? std::string() : member->second.engineAddress;
    }

    void carryOut(const group_log_event& effect) { m_log.write(now(), effect.what, {}, { { "detail", effect.detail } }); }

    void carryOut(outgoing_message& effect)
    {
        if (auto* const beat = std::get_if<coordinator_heartbeat>(&effect.message))
            beat->address = m_settings.listen.links.str();
        if (auto* const question = std::get_if<arm_readiness_request>(&effect.message))
            question->address = m_settings.listen.links.str();
        const group_datagram message { m_report ? m_report->group : std::string(), effect.message };
        if (effect.rank) {
            const auto found = m_rankAddresses.find(*effect.rank);
            if (found != m_rankAddresses.end())
                m_sender.send(message, found->second);
            return;
        }
        tellAgents(message);
    }

    // Sends a message to all other agents. Large broadcasts go through relays in each zone.
    void tellAgents(const datagram_message& message)
    {
        std::map<availability_zone_id, std::vector<std::string>> agents;
        std::size_t count = 0;
        for (const auto& [name, member] : m_members) {
            if (member.isEntry || name == m_settings.process.instance.str())
                continue;
            agents[member.zone].push_back(member.datagramAddress);
            ++count;
        }
        const std::string bytes = encodeDatagram(message);
        const bool isSmall = count * (bytes.size() + send_queue::packetOverheadBytes) <= maxDirectBroadcastBytes;
        const std::size_t branchSize = isSmall ? 1 : balancedBranchSize(count);
        ++m_relayRound;
        for (const auto& [zone, addresses] : agents) {
            for (const relay_branch& branch : relayBranches(addresses, branchSize, m_relayRound))
                tellBranch(bytes, classOf(message), branch);
        }
    }

    void tellBranch(const std::string& bytes, const datagram_class& kind, const relay_branch& branch)
    {
        const udp_endpoint relay = udpEndpoint(branch.relay);
        if (branch.targets.empty())
            m_sender.sendEncoded(bytes, kind, relay);
        else
            m_sender.sendEncoded(encodeDatagram(relay_request { branch.targets, bytes }), kind, relay);
    }

    static udp_endpoint udpEndpoint(const std::string& address)
    {
        const auto target = endpointFromText(address);
        return { target.address(), target.port() };
    }

    // --- Datagrams between processes.

    void onNews(const datagram_message& message, const udp_endpoint& from)
    {
        if (const auto* const subscription = std::get_if<load_subscription>(&message)) {
            if (m_subscribers.insert_or_assign(from, load_subscriber { subscription->zone, now() }).second)
                m_log.write(now(), "load_subscribed", {}, { { "entry", from.address().to_string() } });
            noteStoreGeneration(subscription->storeGeneration);
        }
        if (const auto* const relayed = std::get_if<relay_request>(&message)) {
            // Relayed messages are forwarded once only: a relayed message inside another is dropped.
            const auto inner = decodeDatagram(relayed->message);
            if (!inner || std::holds_alternative<relay_request>(*inner))
                return;
            for (const std::string& target : relayed->targets)
                m_sender.sendEncoded(relayed->message, classOf(*inner), udpEndpoint(target));
            return onNews(*inner, {});
        }
        const auto* const group = std::get_if<group_datagram>(&message);
        if (group == nullptr || !m_report || group->group != m_report->group)
            return;
        noteSender(group->message, from);
        handle(group_message_received { now(), group->message });
        if (m_agent.isLeader())
            readLayoutIfUnknown();
    }

    void noteSender(const group_message& message, const udp_endpoint& from)
    {
        if (const auto* const beat = std::get_if<coordinator_heartbeat>(&message))
            noteRankAddress(beat->rank, beat->address);
        else if (const auto* const question = std::get_if<arm_readiness_request>(&message))
            noteRankAddress(question->holder, question->address);
        else if (const auto* const status = std::get_if<rank_status>(&message))
            m_rankAddresses[status->rank] = from;
    }

    void noteRankAddress(std::uint32_t rank, const std::string& links)
    {
        const udp_endpoint address = udpEndpoint(links);
        if (address.port() != 0)
            m_rankAddresses[rank] = address;
    }

    void tellLoad()
    {
        const instant moment = now();
        std::erase_if(m_subscribers, [moment](const auto& entry) { return moment - entry.second.renewedAt > subscriptionLifetime; });
        const duration interval = std::max(leastLoadInterval, loadIntervalPerEntry * static_cast<duration::rep>(m_subscribers.size()));
        if (moment - m_loadTold < interval)
            return;
        m_loadTold = moment;
        m_loadRound = (m_loadRound + 1) % otherZonesEvery;
        const bool isOpen = m_report->group.empty() || m_report->rank.groupOpen;
        const endpoint_load load { m_engine.address(), m_report->running, m_report->waiting, m_report->pace, isOpen, subscriberCount(moment), m_isLeaving, m_report->startedAtMs, limitStatement(), m_report->memoryUsed, m_report->memoryTotal };
        for (const auto& [entry, known] : m_subscribers) {
            if (known.zone == m_settings.process.zone || m_loadRound == 0)
                m_sender.send(load, entry);
        }
    }

    limit_statement limitStatement() const
    {
        if (m_namedLimit)
            return request_limit { *m_namedLimit };
        return m_hasNamedLimit ? limit_statement(no_limit {}) : limit_not_stated {};
    }

    // After a start, entries that subscribed to the previous process have not renewed their subscriptions yet.
    std::uint32_t subscriberCount(instant moment) const
    {
        return moment - m_startedAt < subscriptionDiscovery ? 0 : static_cast<std::uint32_t>(m_subscribers.size());
    }

    // --- The store.

    // Only an agent that coordinates its group sends to the other agents. The next ranks follow the table as well, so that
    // they can take over while the store is away.
    void followMembersIfNeeded()
    {
        if (!m_membersFollower && (m_report->rank.rank < coordinatorCandidates || m_agent.isLeader()))
            followMembers();
    }

    void followMembers()
    {
        follower_settings settings;
        settings.longPollTimeout = membersPoll;
        settings.readInterval = membersGap;
        settings.settledReadInterval = settledMembersGap;
        m_membersFollower = std::make_shared<table_follower>(
            m_loop, m_store, std::string(membersTable), settings, [] { return now(); },
            follower_handlers { .onSnapshot =
                                    [this](auto rows, instant) {
                                        if (!std::exchange(m_membersRestored, false))
                                            m_members.clear();
                                        onMemberRows(rows);
                                    },
                .onChanges = [this](auto rows, instant) { onMemberRows(rows); },
                .onReachability = [this](bool reachable) { m_log.write(now(), reachable ? "store_regained" : "store_lost", {}, {}); },
                .onRestored = [this] { onMembersRestored(); } },
            m_seed);
        m_membersFollower->start();
    }

    // Processes that started after the copy was made are missing in it until they write their rows again, so the known ones
    // are kept.
    void onMembersRestored()
    {
        m_membersRestored = true;
        m_log.write(now(), "store_restored", {}, { { "members", std::to_string(m_members.size()) } });
        noteStoreGeneration(m_membersFollower->generation());
    }

    void noteStoreGeneration(std::uint64_t generation)
    {
        const auto delay = m_seed % static_cast<incarnation>(renewalSpread.count());
        m_registration.onStoreGeneration(generation, std::chrono::milliseconds(delay));
    }

    void onMemberRows(const std::vector<store_row>& rows)
    {
        for (const store_row& row : rows) {
            const auto member = row.removed ? std::nullopt : decodeMember(row.value);
            if (member)
                m_members[row.key] = *member;
            else
                m_members.erase(row.key);
        }
    }

    // Reads the layout of the model's experts. It does not change while the service exists, so the coordinator reads it once.
    void readLayoutIfUnknown()
    {
        if (m_layoutKnown || now() < m_layoutRetryAt)
            return;
        m_layoutRetryAt = now() + layoutRetry;
        m_store.read(m_platform.configurationTable(), {}, [this](const store_result& result) {
            if (const auto* const rows = std::get_if<store_rows>(&result)) {
                for (const store_row& row : rows->rows)
                    noteLayout(m_platform.readConfigurationRow(row));
            }
        });
    }

    void noteLayout(const configuration_row& row)
    {
        const auto* const configuration = std::get_if<routing_configuration>(&row);
        if (configuration == nullptr || m_settings.endpoint.description.services.empty())
            return;
        for (const service_description& service : configuration->services) {
            if (service.id != m_settings.endpoint.description.services.front() || !service.experts)
                continue;
            coordinator_limits limits;
            limits.planning.experts = service.experts->expertsPerSet;
            limits.planning.placesPerRank = service.experts->placesPerRank;
            limits.planning.maxNewPerRankAndSet = service.experts->sparePlaces;
            limits.copyTime = service.experts->copyTime();
            limits.planning.minGain = leastGainPerMegabyte * service.experts->expertMegabytes;
            m_agent.setLimits(limits);
            m_layoutKnown = true;
        }
    }

    boost::asio::io_context& m_loop;
    process_settings m_settings;
    row_store& m_store;
    const platform_adapter& m_platform;
    line_log m_log;
    engine_link m_engine;
    datagram_socket m_news;
    paced_sender m_sender;
    boost::asio::steady_timer m_tick;
    member_registration m_registration;
    std::shared_ptr<table_follower> m_membersFollower;
    group_agent m_agent;
    foreign_engines m_foreignEngines;

    std::optional<engine_report> m_report;
    // Start time of the engine that answered last; none once it is known to have ended.
    std::optional<std::uint64_t> m_engineStartedAtMs;
    endpoint_death m_death;
    unsigned m_deathReportsLeft = 0;
    std::optional<rank_order> m_order;
    bool m_readDue = true;
    bool m_listsDue = false;
    bool m_switching = false;
    // Requests per second that the engine named in its last report.
    std::optional<double> m_namedLimit;
    // Since its start. A report without a limit says something only of an engine that names it in reports.
    bool m_hasNamedLimit = false;
    bool m_isLeaving = false;
    std::uint64_t m_datagramsDropped = 0;
    instant m_dropsLoggedAt;
    instant m_nextRead;
    instant m_nextChoices;
    std::tuple<group_epoch, bool, group_map_version> m_groupState;

    std::map<std::string, member_row> m_members;
    std::map<std::uint32_t, udp_endpoint> m_rankAddresses;
    std::map<udp_endpoint, load_subscriber> m_subscribers;
    instant m_startedAt = now();
    instant m_loadTold;
    unsigned m_loadRound = 0;
    std::size_t m_relayRound = 0;
    incarnation m_seed;
    bool m_membersRestored = false;
    bool m_layoutKnown = false;
    instant m_layoutRetryAt;
};

direct_agent_process::direct_agent_process(boost::asio::io_context& loop, const process_settings& settings, incarnation life,
    row_store& store, const platform_adapter& platform)
    : m_implementation(std::make_unique<implementation>(loop, settings, life, store, platform))
{
}

direct_agent_process::~direct_agent_process() = default;

void direct_agent_process::requestStop() { m_implementation->requestStop(); }

} // namespace appleramp
