#include "decisions/forwarding/durations.h"
#include "decisions/forwarding/forwarding_reducer.h"

#include <algorithm>
#include <utility>

// The part of the reducer that keeps requests while the process starts.

namespace appleramp {

void forwarding_reducer::on(const request_arrived& event)
{
    if (!isReady(event.now) && m_startingRequests.add(event.now, event.request, event.caller))
        return waitForStart(event.now, event.request, event.caller.sendId);
    accept(event.now, event.request, { .caller = event.caller, .routes = m_routes, .arrivedAt = event.now });
}

void forwarding_reducer::waitForStart(instant now, request_number number, const std::string& sendId)
{
    const auto until = m_startingRequests.nextTry(now, number);
    if (!until)
        return;
    m_effects.emplace_back(wait_for_service { number, *until });
    m_effects.emplace_back(log_decision { "waits_for_start", sendId, { { "waiting", std::to_string(m_startingRequests.size()) } } });
}

void forwarding_reducer::retryStartingRequest(instant now, request_number number)
{
    const auto until = m_startingRequests.nextTry(now, number);
    if (until && !isReady(now)) {
        m_effects.emplace_back(wait_for_service { number, *until });
        return;
    }
    if (auto kept = m_startingRequests.take(number))
        accept(now, number, { .caller = std::move(kept->caller), .routes = m_routes, .arrivedAt = kept->arrivedAt });
}

bool forwarding_reducer::forgetStartingRequest(instant now, request_number number)
{
    const auto kept = m_startingRequests.take(number);
    if (!kept)
        return false;
    m_effects.emplace_back(
        log_decision { "caller_left", kept->caller.sendId, { { "endpoint", "" }, { "after_ms", millisecondsText(now - kept->arrivedAt) } } });
    return true;
}

// The first sends of an entry to each endpoint are spread over time, since every entry may just have started.
bool forwarding_reducer::waitForOpenEndpoint(instant now, request_number number, request_state& request)
{
    const auto end = m_startingRequests.waitEnd(now, request.arrivedAt, request.caller);
    if (!end)
        return false;
    const instant until = std::min(now + starting_requests::retryInterval, *end);
    m_effects.emplace_back(wait_for_service { number, until });
    if (std::exchange(request.waitsForOpenEndpoint, true))
        return true;
    m_effects.emplace_back(log_decision { "waits_for_endpoint", request.caller.sendId,
        { { "service", request.service.str() }, { "sends", std::to_string(request.attempts) }, { "at_most_ms", millisecondsText(*end - now) } } });
    return true;
}

} // namespace appleramp
