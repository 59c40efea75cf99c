#pragma once

#include "model/time.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace appleramp::tests {

// Event queue in virtual time. Actions run in order of their due times; actions due at the same time run in the order
// in which they were posted.
class event_queue {
public:
    using action = std::function<void()>;

    explicit event_queue(instant start = {})
        : m_now(start)
    {
    }

    instant now() const { return m_now; }

    void runAt(instant when, action run) { m_actions.emplace(std::make_pair(std::max(when, m_now), ++m_postedCount), std::move(run)); }
    void runAfter(duration wait, action run) { runAt(m_now + wait, std::move(run)); }

    // Runs the next action if it is due by `end`, and advances the time to it. Returns false if there is none.
    bool runNext(instant end)
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
    std::uint64_t m_postedCount = 0;
    std::map<std::pair<instant, std::uint64_t>, action> m_actions;
};

} // namespace appleramp::tests
