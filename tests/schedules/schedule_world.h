#pragma once

#include "decisions/agent/agent_reducer.h"
#include "decisions/entry/entry_reducer.h"
#include "fakes/event_queue.h"
#include "fakes/fake_endpoint.h"
#include "fakes/fake_table.h"
#include "schedules/broken_invariants.h"
#include "schedules/fake_network.h"
#include "schedules/simulated_process.h"

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace appleramp::tests {

using entry_simulation = simulated_process<entry_reducer, entry_event, entry_effect>;
using agent_simulation = simulated_process<agent_reducer, agent_event, agent_effect>;

struct world_options {
    std::uint64_t seed = 1;
    std::size_t zones = 3;
    std::size_t entries = 3;
    // Endpoints of the model "assistant" and of the plain service "orders", spread over the zones.
    std::size_t modelEndpoints = 3;
    std::size_t serviceEndpoints = 2;
    fake_endpoint_options endpoint;
};

// Receives the pieces of the reply to one request of a caller or operator.
using reply_sink = std::function<void(const entry_effect&)>;

// A simulated fleet in virtual time: a few entries, agents with their endpoints, a table service and a network. It is
// the smallest fleet in which the reducers' guarantees can be checked under faults.
class schedule_world {
public:
    explicit schedule_world(const world_options& options, broken_invariants& broken);

    event_queue& queue() { return m_queue; }
    std::mt19937_64& random() { return m_random; }
    fake_network& network() { return m_network; }
    fake_table& table() { return m_table; }
    broken_invariants& broken() { return m_broken; }
    void run(instant end);

    std::size_t entries() const { return m_entries.size(); }
    std::size_t agents() const { return m_agents.size(); }
    fake_endpoint& endpoint(std::size_t agent) { return *m_agents.at(agent).endpoint; }
    std::string entryAddress(std::size_t entry) const { return m_entries.at(entry).instance.str(); }
    std::string agentAddress(std::size_t agent) const { return m_agents.at(agent).instance.str(); }
    availability_zone_id agentZone(std::size_t agent) const { return m_agents.at(agent).zone; }
    availability_zone_id zone(std::size_t index) const;
    const agent_reducer& agentReducer(std::size_t agent) const { return m_agents.at(agent).process->reducer(); }
    // Sets a check that is called after each event.
    void setAfterEvent(std::function<void()> check) { m_afterEvent = std::move(check); }

    // Sends a request to an entry. Returns false if the entry is down.
    bool post(std::size_t entry, const std::function<entry_event_body(request_number)>& makeEvent, reply_sink sink);
    // Called when an entry crashes, which closes its callers' connections.
    void onEntryDeath(std::function<void(std::size_t)> listener) { m_entryDeath = std::move(listener); }
    void onExecution(std::function<void(std::size_t, const service_request&)> listener)
    {
        m_executions.push_back(std::move(listener));
    }
    // Called before an agent passes a new call to its endpoint.
    void onWork(std::function<void(std::size_t)> listener) { m_workListener = std::move(listener); }

    void crashEntry(std::size_t entry, duration down);
    void pauseEntry(std::size_t entry, duration length);
    instant entryPausedUntil(std::size_t entry) const { return m_entries.at(entry).process->pausedUntil(); }
    void crashAgent(std::size_t agent, duration down);
    void pauseAgent(std::size_t agent, duration length);
    void setStoreDown(bool down) { m_storeDown = down; }
    void setLostReplyPercent(int percent) { m_lostReplyPercent = percent; }
    void setStoreDelay(duration delay) { m_storeDelay = delay; }

    // Highest configuration version last seen at any process, and whether all live processes have adopted it.
    configuration_version newestConfiguration() const;
    bool allHaveNewestConfiguration() const;

private:
    struct entry_slot {
        instance_id instance;
        availability_zone_id zone;
        std::shared_ptr<entry_simulation> process;
        std::uint64_t node = 0;
        request_number lastRequest = 0;
        std::map<request_number, reply_sink> replies;
        configuration_version lastVersion = 0;
    };
    struct agent_slot {
        instance_id instance;
        availability_zone_id zone;
        service_id service;
        std::unique_ptr<fake_endpoint> endpoint;
        std::shared_ptr<agent_simulation> process;
        std::uint64_t node = 0;
        configuration_version lastVersion = 0;
    };
    template <typename Slot>
    struct shared_effect_visitor;
    struct entry_effect_visitor;
    struct agent_effect_visitor;

    void addEntry(std::size_t index);
    void addAgent(std::size_t index, const service_id& service);
    void startEntry(std::size_t index);
    void startAgent(std::size_t index);
    template <typename Process>
    void callPlatform(const std::shared_ptr<Process>& process, const call_platform& effect);
    void checkVersions();
    void runChecks() const;
    std::vector<listed_instance> instanceList() const;

    world_options m_options;
    broken_invariants& m_broken;
    event_queue m_queue;
    std::mt19937_64 m_random;
    fake_network m_network;
    fake_table m_table;
    std::vector<entry_slot> m_entries;
    std::vector<agent_slot> m_agents;
    std::function<void(std::size_t)> m_entryDeath;
    std::vector<std::function<void(std::size_t, const service_request&)>> m_executions;
    std::function<void(std::size_t)> m_workListener;
    std::function<void()> m_afterEvent;
    incarnation m_lastIncarnation = 0;
    bool m_storeDown = false;
    int m_lostReplyPercent = 0;
    duration m_storeDelay = std::chrono::milliseconds(3);
};

} // namespace appleramp::tests
