#pragma once

#include "caller_log.h"
#include "engine_fake.h"

#include <deque>
#include <memory>
#include <vector>

namespace appleramp::zones {

// The reference that no real fleet reaches: one queue that knows every engine at once, without delay between it and
// them. What it can't serve on time can't be served with this load and capacity.
class one_queue_fleet {
public:
    one_queue_fleet(virtual_time& time, const scenario& scenario, run_log& log);

    void send(std::size_t request, std::size_t team, std::size_t random);
    void takeZone(bool out);
    void rebootZone();
    std::uint64_t coldOverloads() const { return 0; }

private:
    struct waiting_request {
        std::size_t request = 0;
        instant latestStart;
    };

    void drain();
    engine_fake* freeEngine();

    virtual_time& m_time;
    const scenario& m_scenario;
    caller_log m_callers;
    std::vector<std::unique_ptr<engine_fake>> m_engines;
    std::deque<waiting_request> m_waiting;
    bool m_zoneOut = false;
};

} // namespace appleramp::zones
