#pragma once

#include "model/time.h"

#include <cstdint>
#include <optional>

namespace appleramp {

// The rate that an endpoint which has started or recovered can take, for all entries together, found from how it answers this entry.
//
// The rate doubles step by step while answers come about as fast as those of its peers, stays while they are slower or overdue, and
// halves at once when the endpoint rejects or breaks off a request. An entry that has seen nothing of it lets its rate grow half as
// fast: most entries of a large fleet send one endpoint less than a request per second. Without requests for the
// service the rate stays, so that a burst after silence meets the first rate.
class endpoint_pace {
public:
    // Begins at that rate, in requests per second, as of that time.
    void begin(instant since, double firstRate);
    // The endpoint is as its peers are again.
    void end() { m_isRamping = false; }
    bool isRamping() const { return m_isRamping; }
    instant since() const { return m_since; }
    // The latest ramp began after that time, whether it has ended or not.
    bool hasBegunSince(instant time) const { return m_hasBegun && m_since > time; }
    double rate() const { return m_rate; }
    // Nothing was sent since it began, and that is short ago: a request should go there first.
    bool awaitsFirstSend(instant now) const { return m_isRamping && !m_hasSent && now - m_since < firstSendPeriod; }

    // Requests sent since it began whose answers have not.
    std::uint32_t awaited() const { return m_awaited; }

    void recordSend(instant now);
    void recordCancellation();
    // Another entry has sent a request.
    void recordUsedElsewhere() { m_hasSent = true; }
    // The first event of a stream, or the whole answer, came after this many times the time that peers take.
    void recordAnswer(instant now, double slowness);
    // What the endpoint's agent reports: true if the endpoint is as fast as its peers and has no queue.
    void recordReport(instant now, bool isGood);
    // Rejected, broken off, or without an answer.
    void recordFailure(instant now);
    // An answer that is awaited is overdue, and may still come.
    void recordSilence(instant now);
    // Time passes. `ceiling` is the usual rate, `hasDemand` tells whether there were requests for the service lately, and
    // `usualTime` how long peers take to begin their answers; zero if that is not known. Returns true if the ramp ends with this.
    bool update(instant now, double ceiling, bool hasDemand, duration usualTime);

    static constexpr duration stepLength = std::chrono::milliseconds(250);
    // Without an answer or a report since the last step.
    static constexpr duration blindStepLength = 2 * stepLength;
    // Relative to peers, up to which answers count as good.
    static constexpr double goodSlowness = 1.5;
    // For how long a slow answer or report keeps the rate from growing, if nothing better follows.
    static constexpr duration slownessMemory = std::chrono::milliseconds(500);
    static constexpr duration firstSendPeriod = std::chrono::milliseconds(500);
    // The ramp ends at this fraction of the usual rate, and lasts at least this long.
    static constexpr double reachedFraction = 0.8;
    static constexpr duration minLength = stepLength;
    // Below this rate an endpoint would not show soon that it has recovered.
    static constexpr double leastRate = 2;

private:
    void countAnswer();
    bool isHeld(instant now, duration usualTime) const;

    bool m_hasBegun = false;
    bool m_isRamping = false;
    bool m_hasSent = false;
    // A good answer or report has come since the last step.
    bool m_isSeenGood = false;
    instant m_since;
    double m_rate = 0;
    instant m_stepFrom;
    instant m_updatedAt;
    std::optional<instant> m_slowAt;
    // The earliest send without an answer since.
    std::optional<instant> m_awaitsSince;
    std::uint32_t m_awaited = 0;
};

} // namespace appleramp
