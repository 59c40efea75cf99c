#include "directentry/direct_entry_process.h"

#include "datagrams/crash_codec.h"
#include "datagrams/datagram_codec.h"
#include "datagrams/datagram_socket.h"
#include "decisions/forwarding/endpoint_subset.h"
#include "decisions/forwarding/forwarding_reducer.h"
#include "directentry/caller_connection_limits.h"
#include "directentry/caller_exchange.h"
#include "directentry/configuration_gauges.h"
#include "directentry/crash_record_writer.h"
#include "directentry/entry_memory.h"
#include "directentry/entry_metrics.h"
#include "directentry/limits_page.h"
#include "directentry/news_sender.h"
#include "directentry/planned_stop.h"
#include "directentry/reducer_settings.h"
#include "directentry/refusal_answer.h"
#include "directentry/restriction_gauges.h"
#include "directentry/sharing_metrics.h"
#include "directentry/stop_report.h"
#include "directentry/store_followers.h"
#include "directentry/work_metrics.h"
#include "http/client_pool.h"
#include "http/connection_probe.h"
#include "http/dropped_output.h"
#include "http/http_acceptor.h"
#include "membership/member_registration.h"
#include "observe/line_log.h"
#include "observe/metrics_registry.h"
#include "ports/platform_adapter.h"
#include "runtime/process_clock.h"
#include "storefeed/asio_delayed_call.h"
#include "storefeed/change_codec.h"
#include "storefeed/zone_store.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <span>
#include <utility>

namespace appleramp {

namespace {

// A stopping process ends once no request has come for this long.
constexpr duration quietBeforeEnd = std::chrono::milliseconds(100);
// Interval of the checks for silent attempts and request deadlines.
constexpr std::chrono::milliseconds tick { 25 };
// Interval at which presence is announced to the other entries.
constexpr duration presenceInterval = std::chrono::milliseconds(700);
// A probe of an endpoint that does not answer by then shows nothing.
constexpr std::chrono::milliseconds probeTimeout { 700 };
// Interval of expiry checks: requests must stop going to an endpoint soon after its grace period.
constexpr duration agingInterval = std::chrono::milliseconds(100);
// In a larger fleet, entries tell their presence to their own zone only.
constexpr std::size_t maxEntriesToldByEach = 64;
// Entries of a zone that one datagram names, so that it fits into one packet.
constexpr std::size_t entriesPerDatagram = 16;
// Interval at which subscriptions to load reports are renewed; a restarted agent learns of them this soon.
constexpr duration subscriptionInterval = std::chrono::milliseconds(1200);
// How long callers may cache an answer of the directory.
constexpr duration addressesValidFor = std::chrono::seconds(2);
// Time until the other entries leave a stopping one out of their answers.
constexpr duration departureKnownAfter = std::chrono::milliseconds(500);
// Processes write their rows again at a random time within this one after the store came back from an older copy.
constexpr std::chrono::milliseconds renewalSpread { 1000 };

// Larger changes are read from the store, whose link is wider than that of an entry.
constexpr std::size_t maxRelayedChangesBytes = 32UL * 1024;

constexpr pool_settings endpointPool { .connectTimeout = std::chrono::milliseconds(700),
    .silenceLimit = std::chrono::milliseconds(2500),
    .reuseWithin = std::chrono::milliseconds(1200),
    .maxIdlePerServer = 12 };

} // namespace

class direct_entry_process::implementation {
public:
    implementation(boost::asio::io_context& loop, const process_settings& settings, incarnation life, row_store& store,
        const platform_adapter& platform)
        : m_loop(loop)
        , m_settings(settings)
        , m_store(loop, store, [this] { return m_followers.readerAddress(); })
        , m_followers(m_settings, m_store, platform, followerServices())
        , m_platform(platform)
        , m_log({ settings.process.instance, settings.process.zone, life }, {})
        , m_memory(loop, settings.limits, m_log, m_metrics)
        , m_reducer(suspendAwareNow(), reducerSettings(settings, life))
        , m_endpoints(loop, endpointPool)
        , m_news(loop, settings.listen.links.host, settings.listen.links.port,
              [this](datagram_message message, const boost::asio::ip::udp::endpoint& from) { onNews(std::move(message), from); })
        , m_callers(
              loop, settings.listen.callers.host, settings.listen.callers.port, [this] { return callerConnectionLimits(m_reducer.routes(), m_settings); },
              [this](const std::shared_ptr<server_connection>& connection, http_request request) { onRequest(connection, std::move(request)); }, m_memory.callerPort())
        , m_readiness(
              loop, settings.listen.readiness.host, settings.listen.readiness.port, [] { return serviceConnectionLimits(); },
              [this](const auto& connection, const http_request& request) { onReadiness(connection, request); }, m_memory.servicePort())
        , m_directory(
              loop, settings.listen.directory.host, settings.listen.directory.port, [] { return serviceConnectionLimits(); },
              [this](const auto& connection, const http_request& request) { onDirectory(connection, request); }, m_memory.servicePort())
        , m_operations(
              loop, settings.listen.operations.host, settings.listen.operations.port, [] { return serviceConnectionLimits(); },
              [this](const auto& connection, const http_request& request) { onOperations(connection, request); }, m_memory.servicePort())
        , m_tick(loop)
        , m_registration(loop, m_store, settings.process.instance.str(),
              { true, settings.process.zone, socket_address { settings.listen.links.host, m_news.port() }.str(), {},
                  socket_address { settings.listen.operations.host, m_operations.port() }.str() })
        , m_crashWriter(loop, m_store, static_cast<std::minstd_rand::result_type>(life),
              [this](const std::string& row) { m_log.write(now(), "crash_row_dropped", {}, { { "row", row } }); })
        , m_random(static_cast<std::minstd_rand::result_type>(life))
    {
        m_log.write(now(), "started", {},
            { { "role", "direct_entry" }, { "zone", settings.process.zone.str() }, { "callers", std::to_string(m_callersPort) },
                { "readiness", std::to_string(m_readiness.port()) }, { "directory", std::to_string(m_directory.port()) },
                { "operations", std::to_string(m_operations.port()) }, { "links", std::to_string(m_news.port()) } });
        m_memory.logLimits();
        for (http_acceptor* const acceptor : { &m_callers, &m_readiness, &m_directory, &m_operations })
            acceptor->onShed([this](const shed_connection& connection) { m_memory.report(connection); });
        m_callers.onOutputDropped([this](const dropped_output& dropped) { onOutputDropped(dropped); });
        m_followers.start(life ^ std::hash<std::string> {}(settings.process.instance.str()));
        m_registration.start();
        scheduleTick();
    }

    direct_entry_ports ports() const
    {
        return { m_callers.port(), m_readiness.port(), m_directory.port(), m_operations.port() };
    }

    void noteSettingsErrors(std::size_t errors) { m_metrics.set(entry_metrics::settingsErrors, static_cast<double>(errors)); }

    void requestStop()
    {
        if (m_stopping)
            return;
        m_stopping.emplace(now(), m_settings.bounds.grace, addressesValidFor + departureKnownAfter);
        m_log.write(now(), "stopping", {}, { { "in_flight", std::to_string(m_exchanges.size()) } });
        post(stop_announced { now(), m_stopping->answersEnd() });
        m_callers.beginDrain();
        m_directory.beginDrain();
        m_readiness.beginDrain();
        tellPresence();
        m_registration.unregister();
    }

private:
    static instant now() { return suspendAwareNow(); }

    // --- Requests.

    void onRequest(const std::shared_ptr<server_connection>& connection, http_request request)
    {
        m_metrics.add(entry_metrics::requests);
        m_lastRequestAt = now();
        if (m_acceptsNothing)
            return connection->respond(refusalAnswer({ .reason = refusal_reason::Stopping, .retryAfter = duration::zero() }));
        const std::size_t memory = caller_exchange::memoryOf(request);
        if (!m_memory.makeRoom(memory, memory)) {
            m_metrics.add(entry_metrics::refusals, { { "reason", nameOf(refusal_reason::NoMemory) } });
            return connection->respond(memoryRefusal());
        }
        const request_number number = ++m_lastRequest;
        exchange_services services { m_platform, m_endpoints, [] { return now(); }, [this](const forwarding_event& event) { post(event); }, [this](const std::string& address, auto done) { probeConnection(m_loop, endpointFromText(address), probeTimeout, std::move(done)); }, m_memory.account(), [this](std::size_t bytes, std::size_t holderBytes) { return m_memory.makeRoom(bytes, holderBytes); }, m_serviceProgress };
        auto exchange = std::make_shared<caller_exchange>(std::move(services), number, connection, std::move(request));
        m_exchanges.emplace(number, exchange);
        exchange->start();
        forgetIfOver(number);
    }

    void onOutputDropped(const dropped_output& dropped)
    {
        m_metrics.add(entry_metrics::answersDropped, { { "cause", std::string(nameOf(dropped.cause)) } });
        m_log.write(now(), "answer_dropped", dropped.answerId, { { "cause", std::string(nameOf(dropped.cause)) }, { "bytes", std::to_string(dropped.bytes) } });
    }

    void post(const forwarding_event& event)
    {
        entry_metrics::countEnding(m_metrics, event);
        for (const forwarding_effect& effect : m_reducer.handle(event))
            std::visit([this](const auto& concrete) { carryOut(concrete); }, effect);
    }

    std::shared_ptr<caller_exchange> exchange(request_number number) const
    {
        const auto found = m_exchanges.find(number);
        return found == m_exchanges.end() ? nullptr : found->second;
    }

    void forgetIfOver(request_number number)
    {
        const auto found = m_exchanges.find(number);
        if (found != m_exchanges.end() && found->second->isOver())
            m_exchanges.erase(found);
    }

    void carryOut(const send_attempt& effect)
    {
        if (effect.loadReportAge)
            m_metrics.observe(entry_metrics::loadReportAge, *effect.loadReportAge);
        if (const auto target = exchange(effect.request))
            target->carryOut(effect);
    }

    void carryOut(const refuse_request& effect)
    {
        m_metrics.add(entry_metrics::refusals, { { "reason", nameOf(effect.reason) } });
        if (const auto target = exchange(effect.request))
            target->refuse(effect);
    }

    void carryOut(const wait_for_service& effect)
    {
        if (const auto target = exchange(effect.request))
            target->carryOut(effect);
    }

    void carryOut(const forward_failure_answer& effect)
    {
        if (const auto target = exchange(effect.request))
            target->passFailureAnswer();
    }

    void carryOut(const abort_answer& effect)
    {
        if (const auto target = exchange(effect.request))
            target->breakAnswer();
    }

    void carryOut(const cancel_forwarded_request& effect)
    {
        if (const auto target = exchange(effect.request))
            target->cancelAttempt();
    }

    void carryOut(const share_crash_records& effect)
    {
        for (const member_row* recipient : m_sender.entries(effect.recipients, m_random))
            m_sender.sendCrashRecords(effect.records, *recipient);
    }

    void carryOut(const share_endpoint_limits& effect)
    {
        for (const member_row* recipient : m_sender.entries(effect.recipients, m_random))
            m_sender.sendLimits(effect.records, *recipient);
    }

    void carryOut(const ask_permit& effect)
    {
        if (const auto owner = m_members.find(effect.owner.str()); owner != m_members.end())
            sendNews(effect.question, owner->second);
    }

    void carryOut(const share_demand& effect) { m_sender.sendDemand(effect); }

    void carryOut(const answer_permit& effect)
    {
        if (const auto asker = m_members.find(effect.asker.str()); asker != m_members.end())
            sendNews(effect.answer, asker->second);
    }

    void carryOut(const store_crash_record& effect) { m_crashWriter.put(effect.record); }
    void carryOut(const remove_stored_crash_record& effect) { m_crashWriter.remove(effect.key); }

    void carryOut(const probe_endpoint& effect)
    {
        probeConnection(m_loop, endpointFromText(effect.address), probeTimeout,
            [this, endpoint = effect.endpoint](bool refused) { post(endpoint_probed { now(), endpoint, refused }); });
    }

    void carryOut(const log_decision& effect) { m_log.write(now(), effect.what, effect.sendId, effect.inputs); }

    // --- The other ports.

    void onReadiness(const std::shared_ptr<server_connection>& connection, const http_request& request) const
    {
        http_response response;
        response.head.status = !m_platform.isReadinessRequest(request.head) ? 404 : (isServing() ? 200 : 503);
        connection->respond(std::move(response));
    }

    void onDirectory(const std::shared_ptr<server_connection>& connection, const http_request& request) const
    {
        http_response response;
        const auto question = m_platform.readAddressRequest(request.head);
        if (!question) {
            response.head.status = 404;
            return connection->respond(std::move(response));
        }
        const auto addresses = m_reducer.peers().callerAddresses(now(), presence(), question->zone);
        response.head.status = addresses.empty() ? 503 : 200;
        if (!addresses.empty()) {
            response.head.headers.add("Content-Type", "application/json");
            response.body = m_platform.addressResponse(addresses, addressesValidFor);
        }
        connection->respond(std::move(response));
    }

    void onOperations(const std::shared_ptr<server_connection>& connection, const http_request& request)
    {
        http_response response;
        if (const auto question = decodeChangesTarget(request.head.target))
            return connection->respond(changesFor(*question));
        if (request.head.method == "GET" && request.head.path() == "/v1/limits") {
            response.head.status = 200;
            response.head.headers.add("Content-Type", "application/json");
            const instant moment = now();
            response.body = limitsPage(moment, m_reducer.limitViews(moment), m_reducer.fleet().restrictions(), m_reducer.fleet().limits().entryCount());
            return connection->respond(std::move(response));
        }
        const bool asked = request.head.method == "GET" && request.head.path() == "/v1/metrics";
        response.head.status = asked ? 200 : 404;
        if (asked) {
            response.head.headers.add("Content-Type", "text/plain; version=0.0.4");
            noteGauges();
            response.body = m_metrics.prometheusText();
        }
        connection->respond(std::move(response));
    }

    http_response changesFor(const changes_question& question) const
    {
        http_response response;
        response.head.status = 404;
        if (const auto rows = m_followers.changesFor(question)) {
            response.body = encodeChanges(*rows);
            response.head.status = response.body.size() <= maxRelayedChangesBytes ? 200 : 413;
        }
        if (response.head.status != 200)
            response.body.clear();
        return response;
    }

    void noteGauges()
    {
        setConfigurationGauges(m_metrics, now(), m_reducer, m_followers);
        m_metrics.set(entry_metrics::requestsInFlight, static_cast<double>(m_exchanges.size()));
        m_memory.noteGauges();
        m_metrics.set(entry_metrics::linesLeftOut, static_cast<double>(m_log.leftOut()));
        setRestrictionGauges(m_metrics, now(), m_reducer);
        m_metrics.set(entry_metrics::storeCalls, static_cast<double>(m_store.storeCalls()));
        m_metrics.set(entry_metrics::readerAnswers, static_cast<double>(m_store.readerAnswers()));
        noteSharingGauges(m_metrics, m_reducer);
        setWorkGauges(m_metrics, m_reducer, m_settings.process.zone);
        m_metrics.set(entry_metrics::datagramsDropped, static_cast<double>(m_news.droppedCount()));
    }

    bool isServing() const { return !m_stopping && m_reducer.isReady(now()); }

    // --- The store.

    store_follower_services followerServices()
    {
        return { .now = [] { return now(); },
            .timer = [this] { return std::make_unique<asio_delayed_call>(m_loop); },
            .post = [this](const forwarding_event& event) { post(event); },
            .log = [this](std::string_view what, const line_log::inputs& inputs) { m_log.write(now(), what, {}, inputs); },
            .onMemberRows = [this](const std::vector<store_row>& rows, bool isWhole) { onMemberRows(rows, isWhole); },
            .onStoreRestored = [this](std::uint64_t generation) { onStoreRestored(generation); },
            .member = [this](const std::string& name) { return member(name); },
            .ask = [this](const freshness_question& question, const member_row& reader) { sendNews(question, reader); },
            .sendAnswer =
                [this](const freshness_answer& answer, const std::string& address) {
                    const auto target = endpointFromText(address);
                    m_news.send(answer, { target.address(), target.port() });
                },
            .notifyZone = [this](const store_notice& notice) { notifyZone(notice); },
            .entryOfOtherZone = [this] { return entryOfOtherZone(); },
            .onLossNoticed = [this](duration time) { m_metrics.observe(entry_metrics::storeLossNotice, time); },
            .onReturnConfirmed = [this](duration time) { m_metrics.observe(entry_metrics::storeReturnConfirmation, time); } };
    }

    void notifyZone(const store_notice& notice)
    {
        const std::string bytes = encodeDatagram(notice);
        for (const auto& [name, member] : m_members) {
            if (member.isEntry && member.zone == m_settings.process.zone && name != m_settings.process.instance.str())
                m_news.sendEncoded(bytes, datagramEndpoint(member));
        }
    }

    const member_row* entryOfOtherZone()
    {
        std::vector<const member_row*> entries;
        for (const auto& [name, member] : m_members) {
            if (member.isEntry && member.zone != m_settings.process.zone)
                entries.push_back(&member);
        }
        return entries.empty() ? nullptr : entries[std::uniform_int_distribution<std::size_t>(0, entries.size() - 1)(m_random)];
    }

    const member_row* member(const std::string& name) const
    {
        const auto found = m_members.find(name);
        return found == m_members.end() ? nullptr : &found->second;
    }

    void onStoreRestored(std::uint64_t generation)
    {
        m_log.write(now(), "store_restored", {}, { { "members", std::to_string(m_members.size()) } });
        const std::chrono::milliseconds delay(std::uniform_int_distribution<int>(0, static_cast<int>(renewalSpread.count()))(m_random));
        m_registration.onStoreGeneration(generation, delay);
    }

    void onMemberRows(const std::vector<store_row>& rows, bool isWhole)
    {
        if (isWhole)
            m_members.clear();
        for (const store_row& row : rows) {
            const auto member = row.removed ? std::nullopt : decodeMember(row.value);
            if (member)
                m_members[row.key] = *member;
            else
                m_members.erase(row.key);
            if (!member && !row.removed && m_unreadable.insert(row.key).second)
                m_log.write(now(), "row_unreadable", {}, { { "row", row.key }, { "reason", "no member of this version" } });
        }
        const auto isEntry = [](const auto& member) { return member.second.isEntry; };
        const auto entries = std::count_if(m_members.begin(), m_members.end(), isEntry);
        const auto before = std::count_if(m_members.begin(), m_members.lower_bound(m_settings.process.instance.str()), isEntry);
        const auto self = m_members.find(m_settings.process.instance.str());
        const auto others = entries - (self != m_members.end() ? 1 : 0);
        m_entryCount = static_cast<std::size_t>(entries);
        std::vector<std::string> names;
        for (const auto& [name, member] : m_members) {
            if (member.isEntry)
                names.push_back(name);
        }
        post(entry_count_read { now(), m_entryCount, static_cast<std::size_t>(others), static_cast<std::size_t>(before), std::move(names) });
        // The others answer with the configuration that they know.
        if (m_isUnannounced)
            tellPresence();
        updateSubset(m_entryCount);
    }

    // --- Datagrams between processes.

    entry_presence presence() const
    {
        const socket_address callers { m_settings.listen.callers.host, m_callersPort };
        return { m_settings.process.instance, m_settings.process.zone, callers.str(), isServing(), m_reducer.configurationVersion() };
    }

    void sendNews(const datagram_message& message, const member_row& member) { m_sender.send(message, member); }

    void tellPresence()
    {
        m_presenceTold = now();
        entry_presence self = presence();
        self.starting = std::exchange(m_isUnannounced, false);
        // In a large fleet the other zones learn of this entry from the reader of its zone; a start and a stop go to all.
        const bool toAll = m_entryCount <= maxEntriesToldByEach || self.starting || m_stopping;
        for (const auto& [name, member] : m_members) {
            if (name != m_settings.process.instance.str() && member.isEntry && (toAll || member.zone == m_settings.process.zone))
                sendNews(self, member);
        }
        if (!toAll && m_followers.isDesignatedReader(m_presenceTold))
            tellZonePresence(self);
    }

    // Tells the other zones of the entries in this one.
    void tellZonePresence(const entry_presence& self)
    {
        auto entries = m_reducer.peers().heardIn(m_presenceTold, m_settings.process.zone);
        entries.push_back({ self, {} });
        for (std::size_t begin = 0; begin < entries.size(); begin += entriesPerDatagram) {
            const auto part = std::span(entries).subspan(begin, std::min(entriesPerDatagram, entries.size() - begin));
            const std::string bytes = encodeDatagram(zone_presence { { part.begin(), part.end() } });
            for (const auto& [name, member] : m_members) {
                if (member.isEntry && member.zone != m_settings.process.zone)
                    m_news.sendEncoded(bytes, datagramEndpoint(member));
            }
        }
    }

    void renewSubscriptions(instant moment)
    {
        m_subscribedAt = moment;
        for (const auto& [name, member] : m_members) {
            if (!member.isEntry && m_subset.contains(member.engineAddress))
                sendNews(load_subscription { m_settings.process.zone, m_followers.membersGeneration() }, member);
        }
    }

    void updateSubset(std::size_t entryCount)
    {
        std::vector<reporting_endpoint> reporting;
        for (const auto& [name, member] : m_members) {
            if (!member.isEntry && !member.engineAddress.empty())
                reporting.push_back({ member.engineAddress, member.zone });
        }
        auto subset = chooseSubset(m_settings.process.instance.str(), m_settings.process.zone, entryCount, reporting, {});
        std::set<std::string> addresses;
        for (reporting_endpoint& endpoint : reporting)
            addresses.insert(std::move(endpoint.address));
        if (subset == m_subset && addresses == m_reporting)
            return;
        m_subset = std::move(subset);
        m_reporting = std::move(addresses);
        post(load_subset_changed { now(), m_reporting, m_subset });
        renewSubscriptions(now());
    }

    void onNews(datagram_message message, const boost::asio::ip::udp::endpoint& from)
    {
        if (const auto* const question = std::get_if<freshness_question>(&message))
            return answer(*question, from);
        if (const auto* const question = std::get_if<permit_question>(&message))
            return answerPermit(*question, from);
        if (const auto* const presence = std::get_if<entry_presence>(&message))
            noteSender(*presence, from);
        std::visit([this](auto& concrete) { onNews(std::move(concrete)); }, message);
    }
    // Group messages and subscriptions concern agents only.
    void onNews(const load_subscription&) { }
    void onNews(const group_datagram&) { }
    void onNews(const relay_request&) { }
    // The sender is known by the address of its datagrams.
    void answerPermit(const permit_question& question, const boost::asio::ip::udp::endpoint& from)
    {
        const auto asker = std::find_if(m_members.begin(), m_members.end(),
            [&](const auto& member) { return member.second.isEntry && datagramEndpoint(member.second) == from; });
        if (asker != m_members.end())
            post(permit_asked { now(), instance_id(asker->first), question });
    }
    // An entry whose row was not read yet is added to the members. It gets this entry's presence at once, as does one that
    // has just started.
    void noteSender(const entry_presence& presence, const boost::asio::ip::udp::endpoint& from)
    {
        const member_row row { true, presence.zone, from.address().to_string() + ":" + std::to_string(from.port()), {} };
        const bool isNew = m_members.emplace(presence.instance.str(), row).second;
        if (isNew || presence.starting) {
            sendNews(this->presence(), row);
            m_sender.sendCrashRecords(m_reducer.recordsForStartingEntry(now()), row);
            m_sender.sendLimits(m_reducer.limitsForStartingEntry(now()), row);
        }
    }
    void onNews(entry_presence presence)
    {
        if (presence.zone == m_settings.process.zone)
            m_followers.onPeerHeard(now(), presence.instance.str());
        post(entry_presence_received { now(), std::move(presence) });
    }
    void onNews(const zone_presence& zone)
    {
        for (const auto& [presence, age] : zone.entries)
            post(entry_presence_received { now() - age, presence });
    }
    void onNews(const freshness_question&) { }
    void onNews(const freshness_answer& answer) { m_followers.onAnswer(now(), answer); }
    void answer(const freshness_question& question, const boost::asio::ip::udp::endpoint& from)
    {
        if (const auto answer = m_followers.answer(now(), from.address().to_string() + ":" + std::to_string(from.port()), question))
            m_news.send(*answer, from);
    }
    void onNews(const store_notice& notice) { m_followers.onNotice(now(), notice); }
    void onNews(endpoint_load load) { post(endpoint_load_received { now(), std::move(load) }); }
    void onNews(endpoint_death death) { post(endpoint_death_reported { now(), std::move(death.address), death.startedAtMs }); }
    void onNews(endpoint_limit_records told) { post(endpoint_limits_told { now(), std::move(told.records) }); }
    void onNews(const permit_question&) { }
    void onNews(permit_answer answer) { post(permit_answered { now(), std::move(answer) }); }
    void onNews(demand_report report) { post(demand_reported { now(), std::move(report) }); }
    void onNews(crash_records told) { post(crash_records_received { now(), std::move(told.records) }); }

    // --- Time.

    void scheduleTick()
    {
        m_tick.expires_after(tick);
        m_tick.async_wait([this](const boost::system::error_code& cancelled) {
            if (!cancelled)
                onTick();
        });
    }

    void onTick()
    {
        const instant moment = now();
        const auto late = std::chrono::steady_clock::now() - m_tick.expiry();
        m_metrics.observe(entry_metrics::loopDelay, std::chrono::duration_cast<duration>(late));
        for (auto entry = m_exchanges.begin(); entry != m_exchanges.end();) {
            const auto held = entry->second;
            held->checkTime(moment);
            entry = held->isOver() ? m_exchanges.erase(entry) : std::next(entry);
        }
        if (moment - m_presenceTold >= presenceInterval) {
            if (!m_isUnannounced)
                tellPresence();
            m_endpoints.sweep();
        }
        if (moment - m_subscribedAt >= subscriptionInterval)
            renewSubscriptions(moment);
        if (moment - m_agedAt >= agingInterval) {
            m_agedAt = moment;
            m_followers.updateZonesOut();
            post(timer_ticked { moment });
        }
        m_followers.onTick(moment);
        m_log.flush();
        if (m_stopping && !m_acceptsNothing && !m_stopping->takesRequests(moment))
            stopAccepting();
        if (m_stopping && !m_stopping->hasTimeToFinish(moment))
            endUnfinished(moment);
        if (m_stopping && isStopComplete(moment))
            return stopLoop();
        scheduleTick();
    }

    // What arrives after this would be cut off when the process ends.
    void stopAccepting()
    {
        m_acceptsNothing = true;
        m_lastRequestAt = now();
        m_callers.close();
        m_log.write(now(), "stopped_accepting", {}, { { "in_flight", std::to_string(m_exchanges.size()) } });
    }

    // Requests that were on their way when the last ones were answered are refused before their connections are closed.
    bool isStopComplete(instant moment) const
    {
        const bool isQuiet = m_acceptsNothing && moment - m_lastRequestAt >= quietBeforeEnd && m_callers.unanswered() == 0;
        return isQuiet || m_stopping->isOver(moment);
    }

    void endUnfinished(instant moment)
    {
        m_cutOff += m_exchanges.size();
        logCutRequests(m_log, moment, m_exchanges);
        post(stop_reached { moment });
        std::erase_if(m_exchanges, [](const auto& entry) { return entry.second->isOver(); });
    }

    void stopLoop()
    {
        m_log.write(now(), "stopped", {}, { { "cut_off", std::to_string(m_cutOff) }, { "unsent_output", std::to_string(m_callers.unanswered()) } });
        m_log.flush();
        m_loop.stop();
    }

    boost::asio::io_context& m_loop;
    process_settings m_settings;
    zone_store m_store;
    store_followers m_followers;
    const platform_adapter& m_platform;
    line_log m_log;
    metrics_registry m_metrics;
    entry_memory m_memory;
    forwarding_reducer m_reducer;
    client_pool m_endpoints;
    datagram_socket m_news;
    http_acceptor m_callers;
    // Kept, as a closed acceptor has no port.
    std::uint16_t m_callersPort = m_callers.port();
    http_acceptor m_readiness;
    http_acceptor m_directory;
    http_acceptor m_operations;
    boost::asio::steady_timer m_tick;
    member_registration m_registration;
    crash_record_writer m_crashWriter;
    std::map<request_number, std::shared_ptr<caller_exchange>> m_exchanges;
    std::map<std::string, member_row> m_members;
    news_sender m_sender { m_news, m_members, m_settings.process.instance.str() };
    std::size_t m_entryCount = 0;
    // No presence was sent since the start.
    bool m_isUnannounced = true;
    std::minstd_rand m_random;
    std::set<std::string> m_unreadable;
    std::map<service_id, instant> m_serviceProgress;
    request_number m_lastRequest = 0;
    instant m_presenceTold;
    instant m_agedAt;
    instant m_subscribedAt;
    // Addresses of the endpoints that report their load, and of those to which this entry subscribes.
    std::set<std::string> m_reporting;
    std::set<std::string> m_subset;
    std::optional<planned_stop> m_stopping;
    // Set in the second part of a stop: nothing more is accepted, and what is in flight is finished.
    bool m_acceptsNothing = false;
    instant m_lastRequestAt;
    // Requests that the stop ended.
    std::size_t m_cutOff = 0;
};

direct_entry_process::direct_entry_process(boost::asio::io_context& loop, const process_settings& settings, incarnation life,
    row_store& store, const platform_adapter& platform)
    : m_implementation(std::make_unique<implementation>(loop, settings, life, store, platform))
{
}

direct_entry_process::~direct_entry_process() = default;

direct_entry_ports direct_entry_process::ports() const { return m_implementation->ports(); }

void direct_entry_process::requestStop() { m_implementation->requestStop(); }

void direct_entry_process::noteSettingsErrors(std::size_t errors) { m_implementation->noteSettingsErrors(errors); }

} // namespace appleramp
