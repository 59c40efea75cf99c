#pragma once

#include "model/time.h"

#include <cstdint>
#include <optional>
#include <random>

namespace appleramp {

struct circuit_breaker_limits {
    duration firstDelay = std::chrono::milliseconds(100);
    // Longest time between two probes, and so the longest time until a recovered platform is used again.
    duration maxDelay = std::chrono::seconds(5);
    // Consecutive lost replies that count as an outage; a single lost reply does not.
    std::uint32_t lostRepliesForOutage = 3;
};

// A circuit breaker for calls to the platform: during an outage it lets through single probes, with exponential backoff
// and jitter between them, so that processes that lost the platform at the same time do not all return to it at the same
// time. Used by platform_worker.
class circuit_breaker {
public:
    // Each process needs a seed of its own, or their probes coincide.
    explicit circuit_breaker(std::uint64_t seed, circuit_breaker_limits limits = {});

    // True if a call may be sent now. During an outage that is one probe at a time, until its outcome is reported.
    bool allowsCall(instant now);

    void succeeded();
    // The connection failed, or the platform reported that it is unavailable.
    void failed(instant now);
    // A call was sent but its reply never arrived.
    void replyLost(instant now);

    bool inOutage() const { return m_nextProbeAt.has_value(); }
    // When the next probe is due; empty if there is no outage.
    std::optional<instant> nextProbeAt() const { return m_nextProbeAt; }

private:
    duration randomDelay();

    circuit_breaker_limits m_limits;
    std::mt19937_64 m_random;
    duration m_maxNextDelay;
    std::uint32_t m_lostReplies = 0;
    std::optional<instant> m_nextProbeAt;
};

} // namespace appleramp
