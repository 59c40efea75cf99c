#include "decisions/forwarding/forwarding_reducer.h"

#include "decisions/forwarding/durations.h"

#include <algorithm>
#include <cmath>
#include <utility>

// Placement of requests by their expected work, and what their answers show of it.

namespace appleramp {

namespace {

std::string percentText(double fraction) { return std::to_string(std::lround(fraction * 100)); }

// A first event that comes later than this many expected times, and after the latency target, counts against its endpoint.
constexpr int lateFactor = 4;

// What an endpoint rejects says nothing of how it serves. One that can't be reached, perhaps from this entry only, is of no use.
bool isFailure(attempt_ending ending)
{
    return ending != attempt_ending::Rejected && ending != attempt_ending::WrongEndpoint;
}

struct news_line {
    log_decision operator()(const outlier_changed& news) const
    {
        const bool isOut = news.change.standing == endpoint_standing::Out;
        log_decision line { isOut ? "outlier_out" : "outlier_back", {}, { { "service", news.service.str() }, { "endpoint", news.endpoint.str() } } };
        if (isOut) {
            line.inputs.emplace_back("for_ms", millisecondsText(news.change.outFor));
            line.inputs.emplace_back("failed_percent", percentText(news.change.failureRate));
            line.inputs.emplace_back("peers_failed_percent", percentText(news.change.peersFailureRate));
        }
        return line;
    }

    log_decision operator()(const zone_shares_changed& change) const
    {
        log_decision line { "zone_shares", {}, { { "service", change.service.str() } } };
        std::string shares;
        for (const auto& [zone, share] : change.shares)
            shares.append(shares.empty() ? "" : ",").append(zone.str()).append("=").append(percentText(share));
        std::string pressures;
        for (const auto& [zone, state] : change.zones)
            pressures.append(pressures.empty() ? "" : ",").append(zone.str()).append("=").append(percentText(state.pressure));
        line.inputs.emplace_back("percent", shares);
        line.inputs.emplace_back("time_percent_of_target", pressures);
        return line;
    }
};

} // namespace

void forwarding_reducer::logWorkNews()
{
    for (const work_news& news : m_fleet.takeWorkNews())
        m_effects.emplace_back(std::visit(news_line {}, news));
}

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
    query.isRepeatable = request.matchedRoute->repeatable();
    query.isRetry = request.attempts > 0;
    query.latencyTarget = request.matchedRoute->latencyTarget;
    query.pauseTarget = request.matchedRoute->pauseTarget > duration::zero() ? request.matchedRoute->pauseTarget : m_settings.defaultPauseTarget;
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
    request.isLate = false;
    if (!chosen.work)
        return;
    ++m_sendsByZone[chosen.zone];
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
    request.isLate = request.firstEventTime > std::max(request.matchedRoute->latencyTarget, request.expectedFirstEvent * lateFactor);
    if (request.isLate)
        m_fleet.recordOutcome(now, request.currentEndpoint, attempt_outcome::Late);
    m_forecasts[request.service].record(request.expectedFirstEvent, request.firstEventTime);
}

void forwarding_reducer::recordOutcome(instant now, const request_state& request, attempt_ending ending)
{
    if (!request.work || !isFailure(ending))
        return;
    m_fleet.recordOutcome(now, request.currentEndpoint, attempt_outcome::Failed);
    logWorkNews();
}

void forwarding_reducer::recordAnsweredWork(instant now, const request_state& request, log_decision& line)
{
    if (!request.work)
        return;
    if (!request.isLate)
        m_fleet.recordOutcome(now, request.currentEndpoint, attempt_outcome::Sound);
    logWorkNews();
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
