#pragma once

#include "fakes/event_queue.h"
#include "ports/row_store.h"

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace appleramp::tests {

// How the store treats calls.
enum class store_mode {
    Up,
    // Refuses each call at once (503 or 429).
    Busy,
    // Connections are reset.
    Reset,
    // Calls get no answer, also not after the return; clients time out.
    Silent,
    // Calls wait and are answered after the return, unless the client has timed out.
    Frozen,
};

// The platform's row store in virtual time, with long polls, generations, and faults for all or some machines.
class fake_store {
public:
    explicit fake_store(event_queue& events)
        : m_events(events)
    {
    }

    void put(const std::string& table, const std::string& key, const std::string& value);
    void setMode(store_mode mode, const std::set<std::string>& machines = {});
    void setAnswerDelay(duration delay) { m_answerDelay = delay; }
    // Goes back to what it held when copy() was called, as a new generation. Its clock starts anew.
    void copy() { m_copy = { m_rows, m_version }; }
    void restoreCopy();

    // Calls of one machine. `done` gets nothing for a call that is never answered.
    void call(const std::string& machine, const std::string& table, std::uint64_t after, duration wait, bool whole, store_handler done);

    // Calls since the start, and those of a machine.
    std::uint64_t calls() const { return m_calls; }
    std::uint64_t callsOf(const std::string& machine) const { return m_callsOf.contains(machine) ? m_callsOf.at(machine) : 0; }

private:
    struct contents {
        std::map<std::string, std::map<std::string, store_row>> rows;
        std::uint64_t version = 0;
    };
    struct waiting_call {
        std::string machine;
        std::string table;
        std::uint64_t after = 0;
        instant until;
        bool whole = false;
        store_handler done;
    };

    store_mode modeFor(const std::string& machine) const;
    bool tryAnswer(waiting_call& call);
    void answerWaiting();

    event_queue& m_events;
    std::map<std::string, std::map<std::string, store_row>> m_rows;
    std::uint64_t m_version = 1;
    std::uint64_t m_generation = 1;
    duration m_clockOffset = std::chrono::seconds(77);
    contents m_copy;
    store_mode m_mode = store_mode::Up;
    // Machines that the mode applies to; all if empty.
    std::set<std::string> m_machines;
    duration m_answerDelay = std::chrono::milliseconds(1);
    std::list<waiting_call> m_waiting;
    std::uint64_t m_calls = 0;
    std::map<std::string, std::uint64_t> m_callsOf;
};

} // namespace appleramp::tests
