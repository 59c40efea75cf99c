#pragma once

#include "decisions/agent/agent_reducer.h"

#include <cstdint>

namespace appleramp {

// An agent's reducer with a number of linked entries, driven in virtual time.
class agent_fixture {
public:
    explicit agent_fixture(std::uint64_t entries);

    agent_effects apply(agent_event_body body);
    agent_effects receive(link_number link, link_message message);
    void advance(duration time) { m_now += time; }

    // Starts an attempt that came on the first link, with a key of its own if it is to be keyed.
    call_number begin(bool keyed);
    void finish(call_number call);
    void complete(std::uint64_t attempts, bool keyed);

    agent_reducer& reducer() { return m_reducer; }

private:
    agent_reducer m_reducer;
    instant m_now { std::chrono::hours(1) };
    std::uint64_t m_lastAttempt = 0;
};

} // namespace appleramp
