#pragma once

#include "model/time.h"

#include <optional>

namespace appleramp {

// Tells callers that are refused during an outage of the store when to come back.
//
// How long an outage lasts is unknown. The longer it has lasted, the longer it is likely to go on, so callers are spread evenly over a
// time as long as it has lasted so far, within bounds. Callers that are refused at different times then return at an even rate, and
// those that are refused shortly before the store's return find it within seconds.
class store_outage {
public:
    void onLost(instant now) { m_lostAt = m_lostAt.value_or(now); }
    void onRegained() { m_lostAt.reset(); }

    // Nothing while the store is available. A caller waits at most a third of the time that it has left.
    std::optional<duration> retryAfter(instant now, duration timeLeft, double randomFraction) const;

    // An earlier return would hardly find the store back.
    static constexpr duration minRetryAfter = std::chrono::milliseconds(300);
    static constexpr duration minSpread = std::chrono::milliseconds(1200);
    static constexpr duration maxSpread = std::chrono::seconds(8);

private:
    std::optional<instant> m_lostAt;
};

} // namespace appleramp
