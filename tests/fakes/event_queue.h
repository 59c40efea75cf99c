#pragma once

#include "model/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace appleramp::tests {

// Virtual time: actions run in order of their instants, and of their posting within one instant.
class event_queue {
public:
    using action = std::function<void()>;

    instant now() const { return m_now; }

    void at(instant when, action run) { m_actions.emplace(std::make_pair(std::max(when, m_now), ++m_posted), std::move(run)); }
    void after(duration wait, action run) { at(m_now + wait, std::move(run)); }

    // Runs the next action if one is due by `end`.
    bool step(instant end)
    {
        if (m_actions.empty() || m_actions.begin()->first.first > end)
            return false;
        auto next = m_actions.extract(m_actions.begin());
        m_now = next.key().first;
        next.mapped()();
        return true;
    }

private:
    instant m_now;
    std::uint64_t m_posted = 0;
    std::map<std::pair<instant, std::uint64_t>, action> m_actions;
};

} // namespace appleramp::tests
