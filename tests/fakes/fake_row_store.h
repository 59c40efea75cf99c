#pragma once

#include "ports/row_store.h"

#include <deque>
#include <string>
#include <utility>
#include <vector>

namespace appleramp {

// A row store that queues its calls until the test answers them, in order of arrival.
class fake_row_store : public row_store {
public:
    struct call {
        std::string what;
        std::uint64_t afterVersion = 0;
        store_handler done;
    };

    void read(const std::string& table, const std::string& fromKey, store_handler done) override
    {
        m_calls.push_back({ "read " + table + (fromKey.empty() ? "" : " from " + fromKey), 0, std::move(done) });
    }
    void changes(const std::string& table, std::uint64_t afterVersion, duration, store_handler done) override
    {
        m_calls.push_back({ "changes " + table, afterVersion, std::move(done) });
    }
    void write(const std::vector<row_condition>&, const std::vector<row_write>&, store_handler done) override
    {
        m_calls.push_back({ "write", 0, std::move(done) });
    }

    bool hasCall() const { return !m_calls.empty(); }
    const call& next() const { return m_calls.front(); }
    void answer(store_result result)
    {
        call answered = std::move(m_calls.front());
        m_calls.pop_front();
        answered.done(std::move(result));
    }

private:
    std::deque<call> m_calls;
};

} // namespace appleramp
