#pragma once

#include "model/time.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <vector>

namespace appleramp::zones {

// Runs actions in order of their virtual time; actions of one time in the order in which they were added.
class virtual_time {
public:
    instant now() const { return m_now; }

    void after(duration wait, std::function<void()> action)
    {
        m_actions.push_back({ m_now + wait, ++m_count, std::move(action) });
        std::push_heap(m_actions.begin(), m_actions.end());
    }

    void runUntil(instant end)
    {
        while (!m_actions.empty() && m_actions.front().at <= end) {
            std::pop_heap(m_actions.begin(), m_actions.end());
            const auto next = std::move(m_actions.back());
            m_actions.pop_back();
            m_now = next.at;
            next.run();
        }
        m_now = end;
    }

private:
    struct action {
        instant at;
        std::uint64_t order = 0;
        std::function<void()> run;

        bool operator<(const action& other) const
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    instant m_now { std::chrono::seconds(1000) };
    std::uint64_t m_count = 0;
    std::vector<action> m_actions;
};

} // namespace appleramp::zones
