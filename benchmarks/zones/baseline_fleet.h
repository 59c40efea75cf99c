#pragma once

#include "caller_log.h"
#include "engine_fake.h"

#include <memory>
#include <vector>

namespace appleramp::zones {

enum class baseline_policy {
    RoundRobin,
    LeastOutstanding,
};

// Entries that send to engines at once, without slots. They learn of the zone's exit and return without delay, and
// send a request that has given nothing yet up to two times more.
class baseline_fleet {
public:
    baseline_fleet(virtual_time& time, const scenario& scenario, baseline_policy policy, run_log& log);

    void send(std::size_t request, std::size_t team, std::size_t random);
    void takeZone(bool out);
    void rebootZone();
    std::uint64_t coldOverloads() const;

private:
    struct attempt {
        std::size_t request = 0;
        std::size_t entry = 0;
        std::size_t engine = 0;
        bool hasHead = false;
        bool done = false;
    };
    struct entry_state {
        std::size_t next = 0;
        std::vector<std::uint32_t> outstanding;
    };

    void dispatch(std::size_t request, std::size_t entry);
    std::size_t choose(entry_state& entry) const;
    bool isOut(std::size_t engine) const { return m_zoneOut && engine % zoneCount == zoneOut; }
    void finish(std::uint64_t call, bool answered);
    void failed(std::uint64_t call);
    void giveUp(std::size_t request);

    virtual_time& m_time;
    const scenario& m_scenario;
    baseline_policy m_policy;
    run_log& m_log;
    caller_log m_callers;
    std::vector<std::unique_ptr<engine_fake>> m_engines;
    std::vector<entry_state> m_entries;
    std::vector<attempt> m_attempts;
    // Each request's latest attempt.
    std::vector<std::uint64_t> m_latest;
    bool m_zoneOut = false;
};

} // namespace appleramp::zones
