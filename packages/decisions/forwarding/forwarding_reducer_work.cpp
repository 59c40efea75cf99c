#include "decisions/forwarding/forwarding_reducer.h"

#include "decisions/forwarding/durations.h"

#include <algorithm>
#include <utility>

// Placement of requests by their expected work, and what their answers show of it.

namespace appleramp {

answer_length_query forwarding_reducer::answerLengthQuery(const request_state& request) const
{
    const service_description* const service = request.routes->service(request.service);
    return { .route = request.matchedRoute->name,
        .mostTokens = request.caller.answerTokens,
        .hint = request.caller.expectedAnswerTokens,
        .usualTokens = service != nullptr && service->engine ? service->engine->usualAnswerTokens : 0 };
}

void forwarding_reducer::describeWork(const request_state& request, placement_query& query) const
{
    const service_description* const service = request.routes->service(request.service);
    const bool isStream = request.matchedRoute->kind == route_kind::Stream;
    if (!m_settings.placeByWork || !isStream || service == nullptr || !service->engine || !work_model(*service->engine).isUsable())
        return;
    query.engine = &*service->engine;
    query.size = { request.caller.promptTokens, m_answerLengths.expectedTokens(answerLengthQuery(request)) };
    if (query.size.promptTokens == 0)
        query.size.promptTokens = service->engine->usualPromptTokens;
    if (const auto forecast = m_forecasts.find(request.service); forecast != m_forecasts.end())
        query.forecastCorrection = forecast->second.correction();
    if (const auto pace = m_streamPaces.find(request.service); pace != m_streamPaces.end())
        query.measuredPause = pace->second.meanPause();
}

void forwarding_reducer::recordPlacedWork(request_number number, request_state& request, const placement& chosen, log_decision& line)
{
    request.work = chosen.work;
    request.expectedFirstEvent = chosen.forecast.firstEvent;
    request.firstEventTime = {};
    if (!chosen.work)
        return;
    m_fleet.work().recordSend(number, chosen.endpoint, *chosen.work);
    line.inputs.emplace_back("first_event_in_ms", millisecondsText(chosen.forecast.firstEvent));
    line.inputs.emplace_back("adds_ms", millisecondsText(chosen.forecast.addedDelay));
    line.inputs.emplace_back("slot_ms", millisecondsText(chosen.work->slotTime));
    line.inputs.emplace_back("memory", std::to_string(chosen.work->memoryTokens));
}

void forwarding_reducer::recordFirstEvent(instant now, request_number number, request_state& request)
{
    if (!request.work || request.firstEventTime > duration::zero())
        return;
    request.firstEventTime = now - request.sentAt;
    m_fleet.work().recordFirstEvent(number);
    m_forecasts[request.service].record(request.expectedFirstEvent, request.firstEventTime);
}

void forwarding_reducer::recordAnsweredWork(instant now, const request_state& request, log_decision& line)
{
    if (!request.work)
        return;
    const service_description* const service = request.routes->service(request.service);
    // A resumed stream brings the rest of its answer only.
    if (request.attempts == 1 && service != nullptr && service->engine)
        m_answerLengths.recordAnswer(answerLengthQuery(request), request.answerPieces * std::max(service->engine->stepsPerPass, 1U));
    line.inputs.emplace_back("first_event_ms", millisecondsText(request.firstEventTime));
    line.inputs.emplace_back("expected_first_event_ms", millisecondsText(request.expectedFirstEvent));
    line.inputs.emplace_back("slot_ms", millisecondsText(now - request.sentAt));
    line.inputs.emplace_back("expected_slot_ms", millisecondsText(request.work->slotTime));
    line.inputs.emplace_back("events", std::to_string(request.answerPieces));
}

} // namespace appleramp
