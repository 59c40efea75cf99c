#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <mutex>

namespace appleramp::stand_ins {

// Lets handlers wait without holding up the end of their server.
class interruptible_pause {
public:
    using clock = std::chrono::steady_clock;

    // Names the waits that one interrupt() ends. Taken before the first wait.
    std::uint64_t round() const;
    // False if the round was interrupted.
    bool waitFor(std::uint64_t round, std::chrono::milliseconds time);
    bool waitUntil(std::uint64_t round, clock::time_point end);
    bool interrupted(std::uint64_t round) const;

    // Ends all waits of the present round and begins another.
    void interrupt();

private:
    mutable std::mutex m_mutex;
    std::condition_variable m_wake;
    std::uint64_t m_round = 0;
};

} // namespace appleramp::stand_ins
