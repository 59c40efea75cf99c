#pragma once

#include "model/time.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace appleramp::testing {

// Runs posted actions in virtual time, ordered by due time and then by order of posting.
class virtual_time {
public:
    instant now() const { return m_now; }

    void post(duration delay, std::function<void()> action)
    {
        m_due.push({ m_now + delay, m_next++, std::move(action) });
    }

    // Runs the next action. Returns false if none is due by the end.
    bool runNext(instant end)
    {
        if (m_due.empty() || m_due.top().at > end)
            return false;
        auto action = std::move(const_cast<entry&>(m_due.top()).action);
        m_now = m_due.top().at;
        m_due.pop();
        action();
        return true;
    }

private:
    struct entry {
        instant at;
        std::uint64_t number = 0;
        std::function<void()> action;

        bool operator<(const entry& other) const
        {
            return std::pair(other.at, other.number) < std::pair(at, number);
        }
    };

    instant m_now {};
    std::uint64_t m_next = 0;
    std::priority_queue<entry> m_due;
};

} // namespace appleramp::testing
