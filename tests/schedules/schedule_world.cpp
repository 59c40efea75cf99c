#include "schedules/schedule_world.h"

#include <algorithm>

namespace appleramp::tests {

namespace {

constexpr duration listDelay = std::chrono::milliseconds(5);

bool isWrite(const platform_call& call)
{
    return std::holds_alternative<table_put>(call) || std::holds_alternative<table_remove>(call)
        || std::holds_alternative<object_put>(call);
}

} // namespace

// Executes the effects of both entries and agents for the process in one slot.
template <typename Slot>
struct schedule_world::shared_effect_visitor {
    schedule_world& world;
    Slot& slot;

    void operator()(send_message&& effect) const
    {
        world.m_network.send(slot.node, effect.link, effect.envelope);
    }
    void operator()(open_link&& effect) const
    {
        world.m_network.dial(slot.node, effect.instance, effect.address);
    }
    void operator()(close_link&& effect) const { world.m_network.close(slot.node, effect.link); }
    void operator()(call_platform&& effect) const { world.callPlatform(slot.process, effect); }
    void operator()(list_instances&& /*effect*/) const
    {
        if (world.m_storeDown)
            return;
        world.m_queue.runAfter(listDelay, [process = slot.process, list = world.instanceList()] {
            process->post(instances_listed { list });
        });
    }
    void operator()(stop_process&& /*effect*/) const { slot.process->kill(); }
};

struct schedule_world::entry_effect_visitor : shared_effect_visitor<entry_slot> {
    using shared_effect_visitor<entry_slot>::operator();

    void operator()(record_decision&& /*effect*/) const { }
    void operator()(finish_span&& /*effect*/) const { }
    // All other effects are reply pieces.
    template <typename Piece>
    void operator()(Piece&& piece) const
    {
        const auto found = slot.replies.find(piece.number);
        if (found == slot.replies.end())
            return;
        const auto sink = found->second;
        sink(entry_effect(std::forward<Piece>(piece)));
    }
};

struct schedule_world::agent_effect_visitor : shared_effect_visitor<agent_slot> {
    using shared_effect_visitor<agent_slot>::operator();
    std::size_t index = 0;

    void operator()(call_engine&& effect) const
    {
        if (world.m_workListener)
            world.m_workListener(index);
        const auto before = slot.endpoint->overloads();
        slot.endpoint->start(effect);
        if (slot.endpoint->overloads() > before)
            world.m_broken.record("overloaded", slot.instance.str());
    }
    void operator()(cancel_engine_call&& effect) const { slot.endpoint->cancel(effect.call); }
    void operator()(probe_engine&& /*effect*/) const { slot.endpoint->probe(); }
    // Decisions and spans are ignored.
    template <typename Other>
    void operator()(Other&& /*effect*/) const
    {
    }
};

schedule_world::schedule_world(const world_options& options, broken_invariants& broken)
    : m_options(options)
    , m_broken(broken)
    , m_random(options.seed)
    , m_network(m_queue, options.seed + 1)
{
    m_agents.resize(options.modelEndpoints + options.serviceEndpoints);
    m_entries.resize(options.entries);
    for (std::size_t index = 0; index < m_agents.size(); ++index)
        addAgent(index, service_id(index < options.modelEndpoints ? "assistant" : "orders"));
    for (std::size_t index = 0; index < m_entries.size(); ++index)
        addEntry(index);
}

availability_zone_id schedule_world::zone(std::size_t index) const
{
    return availability_zone_id("zone-" + std::to_string(index % m_options.zones));
}

void schedule_world::addEntry(std::size_t index)
{
    auto& slot = m_entries.at(index);
    slot.instance = instance_id("entry-" + std::to_string(index));
    slot.zone = zone(index);
    startEntry(index);
}

void schedule_world::addAgent(std::size_t index, const service_id& service)
{
    auto& slot = m_agents.at(index);
    slot.instance = instance_id("agent-" + std::to_string(index));
    slot.zone = zone(index);
    slot.service = service;
    slot.endpoint = std::make_unique<fake_endpoint>(m_queue, m_options.seed * 100 + index, m_options.endpoint,
        [this, index](const service_request& request) {
            for (const auto& listener : m_executions)
                listener(index, request);
        });
    startAgent(index);
}

void schedule_world::startEntry(std::size_t index)
{
    auto& slot = m_entries.at(index);
    entry_identity identity;
    identity.instance = slot.instance;
    identity.zone = slot.zone;
    identity.life = ++m_lastIncarnation;
    identity.linkAddress = slot.instance.str();
    slot.lastVersion = 0;
    slot.process = std::make_shared<entry_simulation>(m_queue, entry_reducer(identity),
        [this, index](entry_effect&& effect) { std::visit(entry_effect_visitor { { *this, m_entries.at(index) } }, std::move(effect)); });
    const auto process = slot.process;
    process->setAfterEvent([this] { runChecks(); });
    slot.node = m_network.join({ slot.instance.str(), [process](const link_opened& event) { process->post(event); },
        [process](const link_closed& event) { process->post(event); },
        [process](const message_received& event) { process->post(event); } });
    process->start();
}

void schedule_world::startAgent(std::size_t index)
{
    auto& slot = m_agents.at(index);
    agent_identity identity;
    identity.instance = slot.instance;
    identity.zone = slot.zone;
    identity.life = ++m_lastIncarnation;
    identity.endpoint.endpoint = endpoint_id("endpoint-" + std::to_string(index));
    identity.endpoint.services = { slot.service };
    identity.limits.warmSlots = m_options.endpoint.warmCapacity;
    identity.limits.coldSlots = m_options.endpoint.coldCapacity;
    slot.lastVersion = 0;
    slot.process = std::make_shared<agent_simulation>(m_queue, agent_reducer(identity),
        [this, index](agent_effect&& effect) { std::visit(agent_effect_visitor { { *this, m_agents.at(index) }, index }, std::move(effect)); });
    const auto process = slot.process;
    process->setAfterEvent([this] { runChecks(); });
    slot.endpoint->attach([process](agent_event_body event) { process->post(std::move(event)); });
    slot.node = m_network.join({ slot.instance.str(), [process](const link_opened& event) { process->post(event); },
        [process](const link_closed& event) { process->post(event); },
        [process](const message_received& event) { process->post(event); } });
    process->start();
}

void schedule_world::run(instant end)
{
    while (m_queue.runNext(end)) {
        checkVersions();
        runChecks();
    }
}

void schedule_world::runChecks() const
{
    if (m_afterEvent)
        m_afterEvent();
}

bool schedule_world::post(std::size_t entry, const std::function<entry_event_body(request_number)>& makeEvent,
    reply_sink sink)
{
    auto& slot = m_entries.at(entry);
    if (!slot.process->isAlive())
        return false;
    const auto number = ++slot.lastRequest;
    slot.replies[number] = std::move(sink);
    slot.process->post(makeEvent(number));
    return true;
}

void schedule_world::crashEntry(std::size_t entry, duration down)
{
    auto& slot = m_entries.at(entry);
    if (!slot.process->isAlive())
        return;
    slot.process->kill();
    m_network.leave(slot.node);
    slot.replies.clear();
    if (m_entryDeath)
        m_entryDeath(entry);
    m_queue.runAfter(down, [this, entry] { startEntry(entry); });
}

void schedule_world::pauseEntry(std::size_t entry, duration length) { m_entries.at(entry).process->pause(length); }

void schedule_world::crashAgent(std::size_t agent, duration down)
{
    auto& slot = m_agents.at(agent);
    if (!slot.process->isAlive())
        return;
    slot.process->kill();
    m_network.leave(slot.node);
    m_queue.runAfter(down, [this, agent] { startAgent(agent); });
}

void schedule_world::pauseAgent(std::size_t agent, duration length) { m_agents.at(agent).process->pause(length); }

template <typename Process>
void schedule_world::callPlatform(const std::shared_ptr<Process>& process, const call_platform& effect)
{
    std::uniform_int_distribution<duration::rep> delay(m_storeDelay.count() / 2, m_storeDelay.count() * 2);
    const duration requestDelay(delay(m_random));
    const duration replyDelay(delay(m_random));
    std::uniform_int_distribution<int> percent(0, 99);
    const bool lost = percent(m_random) < m_lostReplyPercent;
    m_queue.runAfter(requestDelay, [this, process, effect, replyDelay, lost] {
        if (m_storeDown) {
            process->post(platform_replied { effect.operation, { platform_status::Unavailable, {} } });
            return;
        }
        auto result = m_table.execute(effect.call);
        if (lost)
            result = { isWrite(effect.call) ? platform_status::Unknown : platform_status::Unavailable, {} };
        m_queue.runAfter(replyDelay, [process, operation = effect.operation, result] {
            process->post(platform_replied { operation, result });
        });
    });
}

void schedule_world::checkVersions()
{
    const auto check = [this](auto& slot) {
        const auto version = slot.process->reducer().configuration().version;
        if (version < slot.lastVersion)
            m_broken.record("lost_or_reverted", slot.instance.str() + " returned to an older version");
        slot.lastVersion = version;
    };
    std::for_each(m_entries.begin(), m_entries.end(), check);
    std::for_each(m_agents.begin(), m_agents.end(), check);
}

configuration_version schedule_world::newestConfiguration() const
{
    configuration_version newest = 0;
    for (const auto& slot : m_entries)
        newest = std::max(newest, slot.lastVersion);
    for (const auto& slot : m_agents)
        newest = std::max(newest, slot.lastVersion);
    return newest;
}

bool schedule_world::allHaveNewestConfiguration() const
{
    const auto newest = newestConfiguration();
    const auto has = [newest](const auto& slot) { return !slot.process->isAlive() || slot.lastVersion == newest; };
    return std::all_of(m_entries.begin(), m_entries.end(), has) && std::all_of(m_agents.begin(), m_agents.end(), has);
}

std::vector<listed_instance> schedule_world::instanceList() const
{
    std::vector<listed_instance> list;
    for (const auto& slot : m_entries)
        list.push_back({ slot.instance, process_role::Entry, slot.zone, slot.instance.str(), slot.instance.str(), {} });
    for (const auto& slot : m_agents)
        list.push_back({ slot.instance, process_role::Agent, slot.zone, slot.instance.str(), "", {} });
    return list;
}

} // namespace appleramp::tests
