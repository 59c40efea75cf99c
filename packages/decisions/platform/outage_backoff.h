#pragma once

#include "model/time.h"

#include <cstdint>
#include <optional>
#include <random>

namespace appleramp {

struct outage_backoff_limits {
    duration firstDelay = std::chrono::milliseconds(100);
    // Longest time between two trials, and so between the platform's return and its use.
    duration maxDelay = std::chrono::seconds(5);
    // Replies lost in a row that count as an outage; a single lost reply does not.
    std::uint32_t maxLostReplies = 3;
};

// Decides when a process may call a platform that is out. Delays between trials grow and are spread at random, so that
// processes that lost the platform together do not return to it together. Works with platform_worker.
class outage_backoff {
public:
    // Processes need different seeds.
    explicit outage_backoff(std::uint64_t seed, outage_backoff_limits limits = {});

    // True if a call may be sent now. During an outage that is one trial, until its outcome is reported.
    bool admits(instant now);

    void succeeded();
    // No connection came to be, or the platform said that it is out.
    void failed(instant now);
    void lostReply(instant now);

    bool inOutage() const { return m_nextTrial.has_value(); }
    // When the next trial is due; empty without an outage.
    std::optional<instant> nextTrial() const { return m_nextTrial; }

private:
    duration drawDelay();

    outage_backoff_limits m_limits;
    std::mt19937_64 m_random;
    duration m_ceiling;
    std::uint32_t m_lostReplies = 0;
    std::optional<instant> m_nextTrial;
};

} // namespace appleramp
