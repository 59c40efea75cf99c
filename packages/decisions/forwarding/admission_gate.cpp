#include "decisions/forwarding/admission_gate.h"

#include <algorithm>

namespace appleramp {

namespace {

duration scaled(duration time, double factor)
{
    return duration(static_cast<duration::rep>(static_cast<double>(time.count()) * factor));
}

// A queue of one request per slot drains in one answer time.
duration expectedQueueWait(const admission_query& query)
{
    const double requestsAhead = query.load + 1 - query.slots;
    return requestsAhead <= 0 ? duration::zero() : scaled(query.answerTime, requestsAhead / std::max(query.slots, 1U));
}

} // namespace

admission_decision admission_gate::decide(const admission_query& query, double jitter)
{
    const duration wait = expectedQueueWait(query);
    const duration callerPatience = std::max(query.latencyTarget * callerPatienceFactor, minCallerPatience);
    const duration maxWait = scaled(std::min(callerPatience, query.timeLeft), queueShareOfPatience);
    if (wait <= maxWait)
        return { true, wait, {} };
    const duration drainTime = scaled(wait - maxWait, 1 + jitter);
    return { false, wait, std::clamp(minRetryAfter + drainTime, minRetryAfter, maxRetryAfter) };
}

} // namespace appleramp
