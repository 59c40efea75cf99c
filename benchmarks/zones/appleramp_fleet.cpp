#include "appleramp_fleet.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace appleramp::zones {

namespace {

constexpr duration withinZone = std::chrono::microseconds(200);
constexpr duration beside = std::chrono::microseconds(100);
constexpr duration tableTime = std::chrono::milliseconds(5);
constexpr duration listTime = std::chrono::milliseconds(10);
const service_id model("assistant");

availability_zone_id zoneName(std::size_t zone) { return availability_zone_id("zone-" + std::to_string(zone)); }

} // namespace

// Carries out what a process decided.
struct appleramp_fleet::effect_visitor {
    appleramp_fleet& fleet;
    process& self;

    void operator()(const send_message& effect) const
    {
        const auto to = self.links.find(effect.link);
        if (to == self.links.end())
            return;
        const auto peer = to->second;
        if (std::holds_alternative<start_attempt>(effect.envelope.message))
            fleet.m_callers.attempt(self.requests.at(requestOf(effect)));
        const auto wait = fleet.delay(self, *fleet.m_processes[peer.process]);
        fleet.m_time.after(wait, [owner = &fleet, peer, envelope = effect.envelope] {
            message_received received { peer.link, envelope };
            if (owner->m_processes[peer.process]->entry)
                owner->apply(peer.process, entry_event_body(std::move(received)));
            else
                owner->apply(peer.process, agent_event_body(std::move(received)));
        });
    }
    void operator()(const open_link& effect) const { fleet.link(self.index, effect); }
    void operator()(const call_platform& effect) const
    {
        fleet.m_time.after(tableTime, [owner = &fleet, index = self.index, effect] {
            platform_replied reply { effect.operation, owner->callTable(effect.call) };
            if (owner->m_processes[index]->entry)
                owner->apply(index, entry_event_body(std::move(reply)));
            else
                owner->apply(index, agent_event_body(std::move(reply)));
        });
    }
    void operator()(const list_instances& /*effect*/) const
    {
        fleet.m_time.after(listTime, [owner = &fleet, index = self.index] {
            instances_listed listed;
            for (const auto& process : owner->m_processes)
                listed.instances.push_back(process->listing);
            if (owner->m_processes[index]->entry)
                owner->apply(index, entry_event_body(std::move(listed)));
            else
                owner->apply(index, agent_event_body(std::move(listed)));
        });
    }
    void operator()(const reply_data& effect) const
    {
        fleet.m_callers.chunk(self.requests.at(effect.number), fleet.m_time.now());
    }
    void operator()(const reply_end& effect) const { end(effect.number, true); }
    void operator()(const reply_problem& effect) const { end(effect.number, false); }
    void operator()(const reply_aborted& effect) const { end(effect.number, false); }
    void operator()(const reply_document& effect) const
    {
        if (!self.requests.contains(effect.number))
            fleet.m_addressAnswer = effect.json;
    }
    void operator()(const call_engine& effect) const
    {
        fleet.m_time.after(beside, [owner = &fleet, agent = &self, call = effect.call] {
            if (owner->isLateZoneWork(*agent))
                ++owner->m_log.lateZoneWork;
            agent->engine->start(call);
        });
    }
    void operator()(const cancel_engine_call& effect) const
    {
        self.engine->cancel(effect.call);
        fleet.apply(self.index, agent_event_body(engine_failed { effect.call, failure_cause::Cancelled, false }));
    }
    void operator()(const probe_engine& /*effect*/) const
    {
        fleet.m_time.after(beside, [owner = &fleet, agent = &self] {
            const auto& engine = *agent->engine;
            owner->apply(agent->index,
                agent_event_body(engine_probed { engine.isUp(), engine.bootId(), engine.running(), 0 }));
        });
    }
    template <typename Other>
    void operator()(const Other& /*effect*/) const
    {
    }

private:
    request_number requestOf(const send_message& effect) const
    {
        return std::get<start_attempt>(effect.envelope.message).request.contentHash;
    }
    void end(request_number number, bool answered) const
    {
        const auto found = self.requests.find(number);
        if (found == self.requests.end())
            return;
        fleet.m_callers.end(found->second, fleet.m_time.now(), answered);
    }
};

appleramp_fleet::appleramp_fleet(virtual_time& time, const scenario& scenario, run_log& log)
    : m_time(time)
    , m_scenario(scenario)
    , m_log(log)
    , m_callers(log, scenario)
{
    for (std::size_t number = 0; number < scenario.fleet.entries; ++number)
        addEntry(number);
    for (std::size_t number = 0; number < scenario.fleet.engines; ++number)
        addAgent(number);
    for (std::size_t index = 0; index < m_processes.size(); ++index)
        start(index);
    change(0, put_service { model, { { "/" }, 0 } });
    fleet_defaults defaults;
    defaults.teamLimit = 0;
    change(0, set_defaults { defaults });
}

appleramp_fleet::~appleramp_fleet() = default;

appleramp_fleet::process& appleramp_fleet::addProcess(const std::string& name, std::size_t zone, process_role role)
{
    auto added = std::make_unique<process>();
    added->index = m_processes.size();
    added->zone = zone;
    added->listing = { instance_id(name), role, zoneName(zone), name, role == process_role::Entry ? name : "",
        instance_state::Live };
    m_byName[added->listing.instance] = added->index;
    m_processes.push_back(std::move(added));
    return *m_processes.back();
}

void appleramp_fleet::addEntry(std::size_t number)
{
    auto& added = addProcess("entry-" + std::to_string(number), number % zoneCount, process_role::Entry);
    entry_identity identity;
    identity.instance = added.listing.instance;
    identity.zone = added.listing.zone;
    identity.life = number + 1;
    added.entry = std::make_unique<entry_reducer>(identity);
}

void appleramp_fleet::addAgent(std::size_t number)
{
    auto& added = addProcess("agent-" + std::to_string(number), number % zoneCount, process_role::Agent);
    agent_identity identity;
    identity.instance = added.listing.instance;
    identity.zone = added.listing.zone;
    identity.life = number + 1;
    identity.endpoint = { endpoint_id("engine-" + std::to_string(number)), endpoint_kind::ModelEngine, { model }, {} };
    identity.limits.warmSlots = m_scenario.engine.warmBatch;
    identity.limits.coldSlots = m_scenario.engine.coldBatch;
    identity.limits.warmAfter = m_scenario.engine.warmAfter;
    added.agent = std::make_unique<agent_reducer>(identity);
    const auto index = added.index;
    engine_listener listener;
    listener.head = [this, index](auto call) { apply(index, agent_event_body(engine_head { call, 200, {} })); };
    listener.chunk = [this, index](auto call) { apply(index, agent_event_body(engine_data { call, "tokens" })); };
    listener.end = [this, index](auto call) { apply(index, agent_event_body(engine_end { call })); };
    listener.failed = [this, index](auto call, bool neverSent) {
        apply(index, agent_event_body(engine_failed { call, failure_cause::EndpointCrashed, neverSent }));
    };
    added.engine = std::make_unique<engine_fake>(m_time, m_scenario.engine, std::move(listener));
}

void appleramp_fleet::start(std::size_t index)
{
    m_time.after(duration(static_cast<std::int64_t>(index) * 37), [this, index] { tick(index); });
}

void appleramp_fleet::tick(std::size_t index)
{
    auto& self = *m_processes[index];
    if (self.entry)
        apply(index, entry_event_body(time_passed {}));
    else
        apply(index, agent_event_body(time_passed {}));
    const auto next = self.entry ? self.entry->nextWakeUp() : self.agent->nextWakeUp();
    m_time.after(next - m_time.now(), [this, index] { tick(index); });
}

void appleramp_fleet::apply(std::size_t index, entry_event_body body)
{
    auto& self = *m_processes[index];
    for (const auto& effect : self.entry->apply({ m_time.now(), std::move(body) }))
        std::visit(effect_visitor { *this, self }, effect);
}

void appleramp_fleet::apply(std::size_t index, agent_event_body body)
{
    auto& self = *m_processes[index];
    for (const auto& effect : self.agent->apply({ m_time.now(), std::move(body) }))
        std::visit(effect_visitor { *this, self }, effect);
}

void appleramp_fleet::link(std::size_t from, const open_link& effect)
{
    const auto to = m_byName.at(effect.instance);
    const auto here = ++m_lastLink;
    const auto there = ++m_lastLink;
    m_processes[from]->links[here] = { to, there };
    m_processes[to]->links[there] = { from, here };
    const auto open = [this](std::size_t index, link_opened event) {
        if (m_processes[index]->entry)
            apply(index, entry_event_body(event));
        else
            apply(index, agent_event_body(event));
    };
    const auto wait = delay(*m_processes[from], *m_processes[to]);
    m_time.after(wait, [open, to, there] { open(to, { there, {} }); });
    m_time.after(wait, [open, from, here, instance = effect.instance] { open(from, { here, instance }); });
}

duration appleramp_fleet::delay(const process& from, const process& to) const
{
    return from.zone == to.zone ? withinZone : m_scenario.fleet.betweenZones;
}

platform_result appleramp_fleet::callTable(const platform_call& call)
{
    if (const auto* get = std::get_if<table_get>(&call)) {
        const auto found = m_table.find(get->key);
        if (found == m_table.end())
            return { platform_status::NotFound, {} };
        return { platform_status::Done, { found->second } };
    }
    if (const auto* list = std::get_if<table_list>(&call)) {
        platform_result result { platform_status::Done, {} };
        for (auto row = m_table.upper_bound(std::max(list->prefix, list->after));
             row != m_table.end() && row->first.starts_with(list->prefix) && result.rows.size() < list->limit; ++row)
            result.rows.push_back(row->second);
        return result;
    }
    if (const auto* put = std::get_if<table_put>(&call)) {
        auto& row = m_table[put->key];
        if (row.version != put->expected)
            return { platform_status::Conflict, { row } };
        row = { put->key, put->value, put->expected + 1 };
        return { platform_status::Done, { row } };
    }
    return { platform_status::NotFound, {} };
}

void appleramp_fleet::change(std::size_t index, const configuration_change& change)
{
    const auto number = ++m_lastRequest;
    m_time.after(withinZone, [this, index, number, change] {
        apply(index, entry_event_body(change_requested { number, "change-" + std::to_string(number), change }));
    });
}

void appleramp_fleet::takeZone(bool out)
{
    m_zoneOut = out;
    if (out)
        change(0, take_zone_out { zoneName(zoneOut) });
    else
        change(0, take_zone_in { zoneName(zoneOut) });
}

void appleramp_fleet::rebootZone()
{
    for (const auto& process : m_processes) {
        if (process->engine && process->zone == zoneOut)
            process->engine->reboot();
    }
}

bool appleramp_fleet::isLateZoneWork(const process& agent) const
{
    return m_zoneOut && agent.zone == zoneOut && m_time.now() > m_log.taken + lateAfter;
}

std::vector<std::size_t> appleramp_fleet::addressesOf(std::size_t team, std::size_t random)
{
    auto& cached = m_addresses[team];
    if (m_time.now() < cached.until)
        return cached.entries;
    const auto index = random % m_scenario.fleet.entries;
    apply(index, entry_event_body(addresses_requested { ++m_lastRequest, team_id("team-" + std::to_string(team)) }));
    const auto answer = nlohmann::json::parse(m_addressAnswer);
    cached.entries.clear();
    for (const auto& address : answer.at("addresses"))
        cached.entries.push_back(m_byName.at(instance_id(address.at("address").get<std::string>())));
    cached.until = m_time.now() + std::chrono::milliseconds(answer.at("valid_for_ms").get<std::int64_t>());
    return cached.entries;
}

void appleramp_fleet::send(std::size_t request, std::size_t team, std::size_t random)
{
    const auto entries = addressesOf(team, random);
    const auto index = entries.at((random / m_scenario.fleet.entries) % entries.size());
    m_time.after(m_scenario.fleet.toCallers, [this, request, team, index] {
        const auto number = ++m_lastRequest;
        m_processes[index]->requests[number] = request;
        request_received received;
        received.number = number;
        received.request.service = model;
        received.request.team = team_id("team-" + std::to_string(team));
        received.request.path = "/v1/completions";
        received.request.contentHash = number;
        received.request.timeout = callerTimeout;
        apply(index, entry_event_body(std::move(received)));
    });
}

std::uint64_t appleramp_fleet::coldOverloads() const
{
    std::uint64_t sum = 0;
    for (const auto& process : m_processes)
        sum += process->engine ? process->engine->coldOverloads() : 0;
    return sum;
}

} // namespace appleramp::zones
