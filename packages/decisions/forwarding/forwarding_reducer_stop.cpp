#include "decisions/forwarding/forwarding_reducer.h"

#include <algorithm>
#include <vector>

// The part of the reducer that ends what is in flight when the process stops.

namespace appleramp {

namespace {

// Answers of the last one to two of these show how long answers take at present.
constexpr duration answerTimeWindow = std::chrono::seconds(5);

} // namespace

void forwarding_reducer::on(const stop_announced& event) { m_stopsAt = event.endsAt; }

void forwarding_reducer::recordAnswerTime(instant now, const request_state& request)
{
    m_answerTimes.try_emplace(request.service, answerTimeWindow).first->second.record(now, now - request.arrivedAt);
}

bool forwarding_reducer::canEndBeforeStop(instant now, const request_state& request)
{
    if (!m_stopsAt || request.deadline <= *m_stopsAt)
        return true;
    const auto answered = m_answerTimes.find(request.service);
    duration longest = answered == m_answerTimes.end() ? duration::zero() : answered->second.value(now);
    for (const auto& [number, other] : m_requests) {
        if (other.service == request.service)
            longest = std::max(longest, now - other.arrivedAt);
    }
    return now + longest <= *m_stopsAt;
}

// A caller whose request did not run can still send it to another entry; one whose request may have run learns that.
void forwarding_reducer::on(const stop_reached&)
{
    for (const request_number number : m_startingRequests.numbers()) {
        const auto kept = m_startingRequests.take(number);
        refuse(number, { .caller = kept->caller }, refusal_reason::Stopping, duration::zero());
    }
    std::vector<request_number> numbers;
    for (const auto& [number, request] : m_requests)
        numbers.push_back(number);
    for (const request_number number : numbers) {
        request_state& request = m_requests.at(number);
        if (!request.currentEndpoint.empty()) {
            request.mayHaveRun = true;
            m_effects.emplace_back(cancel_forwarded_request { number });
        }
        if (request.mayHaveRun)
            refusePlacement(number, request, refusal_reason::OutcomeUnknown, {});
        else
            refusePlacement(number, request, refusal_reason::Stopping, duration::zero());
    }
}

} // namespace appleramp
