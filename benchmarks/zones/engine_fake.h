#pragma once

#include "virtual_time.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>

namespace appleramp::zones {

// What an engine bears and how fast it is.
struct engine_shape {
    std::uint32_t warmBatch = 8;
    std::uint32_t coldBatch = 2;
    // Completions after a start until it is warm.
    std::uint32_t warmAfter = 8;
    std::size_t queueLength = 64;
    std::uint32_t tokens = 48;
    std::uint32_t tokensPerChunk = 4;
    duration firstToken = std::chrono::milliseconds(180);
    duration tokenBase = std::chrono::milliseconds(30);
    duration tokenPerRunning = std::chrono::microseconds(2500);
    duration restart = std::chrono::seconds(20);

    duration tokenTime(std::size_t running) const
    {
        return tokenBase + tokenPerRunning * static_cast<std::int64_t>(running);
    }
    // Time of one answer when the batch is full.
    duration fullTime() const { return firstToken + tokenTime(warmBatch) * tokens; }
};

struct engine_listener {
    std::function<void(std::uint64_t call)> head;
    std::function<void(std::uint64_t call)> chunk;
    std::function<void(std::uint64_t call)> end;
    // The engine fell over, or refused the call because its queue is full.
    std::function<void(std::uint64_t call, bool neverSent)> failed;
};

// A model engine that batches continuously, slows with its batch, queues what exceeds it, and falls over if it is given
// more than it bears while cold.
class engine_fake {
public:
    engine_fake(virtual_time& time, engine_shape shape, engine_listener listener);

    void start(std::uint64_t call);
    void cancel(std::uint64_t call);
    // The process starts anew, cold.
    void reboot();

    bool isUp() const { return m_up; }
    bool isCold() const { return m_completed < m_shape.warmAfter; }
    std::string bootId() const { return "boot-" + std::to_string(m_boot); }
    std::uint32_t running() const { return static_cast<std::uint32_t>(m_running.size()); }
    std::uint64_t coldOverloads() const { return m_coldOverloads; }

private:
    void admit(std::uint64_t call);
    void step(std::uint64_t call, std::uint64_t boot);
    void finish(std::uint64_t call);
    void fallOver();

    virtual_time& m_time;
    engine_shape m_shape;
    engine_listener m_listener;
    // Tokens that each running call has given.
    std::map<std::uint64_t, std::uint32_t> m_running;
    std::deque<std::uint64_t> m_waiting;
    std::uint32_t m_completed = 0;
    std::uint64_t m_boot = 1;
    bool m_up = true;
    std::uint64_t m_coldOverloads = 0;
};

} // namespace appleramp::zones
