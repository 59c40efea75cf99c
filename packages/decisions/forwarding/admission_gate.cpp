#include "decisions/forwarding/admission_gate.h"

#include <algorithm>

namespace appleramp {

namespace {

duration scaled(duration time, double factor)
{
    return duration(static_cast<duration::rep>(static_cast<double>(time.count()) * factor));
}

// A queue of this many requests per slot takes one occupancy to drain.
duration waitFor(const admission_query& query)
{
    const double ahead = query.load + 1 - query.slots;
    return ahead <= 0 ? duration::zero() : scaled(query.occupancy, ahead / std::max(query.slots, 1U));
}

} // namespace

admission_verdict admission_gate::judge(const admission_query& query, double point)
{
    const duration wait = waitFor(query);
    const duration patience = std::max(query.latencyTarget * patienceFactor, leastPatience);
    const duration bearable = scaled(std::min(patience, query.timeLeft), patienceUse);
    if (wait <= bearable)
        return { true, wait, {} };
    const duration drained = scaled(wait - bearable, 1 + point);
    return { false, wait, std::clamp(shortestReturn + drained, shortestReturn, longestReturn) };
}

} // namespace appleramp
