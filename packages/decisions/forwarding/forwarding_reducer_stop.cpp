#include "decisions/forwarding/durations.h"
#include "decisions/forwarding/forwarding_reducer.h"

#include <vector>

// The part of the reducer that ends what is in flight when the process stops.

namespace appleramp {

namespace {

// Answers take up to about this many times the mean of their service.
constexpr double longAnswerFactor = 2.0;

} // namespace

void forwarding_reducer::on(const stop_announced& event) { m_stopsAt = event.endsAt; }

bool forwarding_reducer::canEndBeforeStop(instant now, const service_id& service) const
{
    return !m_stopsAt || now + scaled(m_fleet.meanAnswerTime(service), longAnswerFactor) <= *m_stopsAt;
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
