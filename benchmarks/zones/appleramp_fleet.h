#pragma once

#include "caller_log.h"
#include "decisions/agent/agent_reducer.h"
#include "decisions/entry/entry_reducer.h"
#include "engine_fake.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace appleramp::zones {

// The real reducers of entries and agents, joined by links in virtual time, beside a table fake.
class appleramp_fleet {
public:
    appleramp_fleet(virtual_time& time, const scenario& scenario, run_log& log);
    ~appleramp_fleet();

    void send(std::size_t request, std::size_t team, std::size_t random);
    void takeZone(bool out);
    void rebootZone();
    std::uint64_t coldOverloads() const;

private:
    struct peer_link {
        std::size_t process = 0;
        link_number link = 0;
    };
    // One process: an entry or an agent with its engine.
    struct process {
        std::size_t index = 0;
        std::size_t zone = 0;
        std::unique_ptr<entry_reducer> entry;
        std::unique_ptr<agent_reducer> agent;
        std::unique_ptr<engine_fake> engine;
        listed_instance listing;
        std::map<link_number, peer_link> links;
        std::map<request_number, std::size_t> requests;
    };
    struct cached_addresses {
        std::vector<std::size_t> entries;
        instant until;
    };
    struct effect_visitor;

    void addEntry(std::size_t number);
    void addAgent(std::size_t number);
    process& addProcess(const std::string& name, std::size_t zone, process_role role);
    void start(std::size_t index);
    void tick(std::size_t index);
    void apply(std::size_t index, entry_event_body body);
    void apply(std::size_t index, agent_event_body body);
    void link(std::size_t from, const open_link& effect);
    void change(std::size_t index, const configuration_change& change);
    platform_result callTable(const platform_call& call);
    duration delay(const process& from, const process& to) const;
    std::vector<std::size_t> addressesOf(std::size_t team, std::size_t random);
    bool isLateZoneWork(const process& agent) const;

    virtual_time& m_time;
    const scenario& m_scenario;
    run_log& m_log;
    caller_log m_callers;
    std::vector<std::unique_ptr<process>> m_processes;
    std::map<instance_id, std::size_t> m_byName;
    std::map<std::string, table_row> m_table;
    std::map<std::size_t, cached_addresses> m_addresses;
    std::string m_addressAnswer;
    link_number m_lastLink = 0;
    request_number m_lastRequest = 0;
    bool m_zoneOut = false;
};

} // namespace appleramp::zones
