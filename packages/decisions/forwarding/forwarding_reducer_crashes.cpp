#include "decisions/forwarding/forwarding_reducer.h"

#include <utility>

// What the reducer learns from attempts that break and from endpoints that die.

namespace appleramp {

namespace {

// The registry drops a silent endpoint only after three of its beats, and its followers hear of it later.
constexpr duration brokenExplainedFor = std::chrono::seconds(6);
// An endpoint that dies just after it reported a failure may have done so because of the request.
constexpr duration failureExplainedFor = std::chrono::seconds(1);
// A cancelled attempt may have run for a moment longer.
constexpr duration cancellationExplainedFor = std::chrono::milliseconds(500);
// An attempt with as many pieces of its answer has begun without harm to its endpoint.
constexpr std::uint32_t soundAnswerPieces = 2;

std::string millisecondsText(duration time)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

} // namespace

void forwarding_reducer::recordSuspiciousEnding(instant now, const request_state& request, const attempt_ended& event)
{
    switch (event.ending) {
    case attempt_ending::NoAnswer:
    case attempt_ending::TruncatedAnswer:
    case attempt_ending::InvalidAnswer:
        recordBrokenAttempt(now, request, brokenExplainedFor);
        if (request.answerPieces < soundAnswerPieces && m_deaths.startProbe(now, request.currentEndpoint))
            m_effects.emplace_back(probe_endpoint { request.currentEndpoint, m_fleet.addressOf(request.currentEndpoint) });
        return;
    case attempt_ending::FailureAnswer:
        return recordBrokenAttempt(now, request, failureExplainedFor);
    case attempt_ending::TimedOut:
        return recordBrokenAttempt(now, request, cancellationExplainedFor);
    case attempt_ending::NotSent:
        return event.connectionRefused ? recordDeath(now, request.currentEndpoint, "connection") : recordGone(now, request.currentEndpoint, "connection");
    case attempt_ending::WrongEndpoint:
        return recordGone(now, request.currentEndpoint, "replaced");
    case attempt_ending::Rejected:
        return;
    }
}

void forwarding_reducer::recordCancelledAttempt(instant now, const request_state& request)
{
    if (!request.currentEndpoint.empty())
        recordBrokenAttempt(now, request, cancellationExplainedFor);
}

broken_attempt forwarding_reducer::brokenAttemptOf(instant now, const request_state& request, duration explainedFor) const
{
    return { request.caller.contentHash, request.currentEndpoint, request.caller.sendId, now, now + explainedFor };
}

void forwarding_reducer::recordBrokenAttempt(instant now, const request_state& request, duration explainedFor)
{
    if (request.answerPieces >= soundAnswerPieces)
        return;
    broken_attempt attempt = brokenAttemptOf(now, request, explainedFor);
    m_effects.emplace_back(log_decision { "breakdown_suspected", request.caller.sendId,
        { { "endpoint", request.currentEndpoint.str() }, { "content", std::to_string(request.caller.contentHash) } } });
    if (m_deaths.recordBrokenAttempt(attempt))
        recordBreakdown(now, attempt, "known_death");
}

void forwarding_reducer::recordDeath(instant now, const endpoint_id& endpoint, std::string_view source)
{
    if (!m_deaths.hasDied(endpoint))
        m_effects.emplace_back(log_decision { "endpoint_died", {}, { { "endpoint", endpoint.str() }, { "source", std::string(source) } } });
    for (const broken_attempt& attempt : m_deaths.recordDeath(now, endpoint))
        recordBreakdown(now, attempt, source);
    for (const auto& [number, request] : m_requests) {
        if (request.currentEndpoint == endpoint && request.answerPieces < soundAnswerPieces)
            recordBreakdown(now, brokenAttemptOf(now, request, {}), source);
    }
}

void forwarding_reducer::recordGone(instant now, const endpoint_id& endpoint, std::string_view source)
{
    for (const broken_attempt& attempt : m_deaths.takeBrokenAttempts(now, endpoint))
        recordBreakdown(now, attempt, source);
}

void forwarding_reducer::recordBreakdown(instant now, const broken_attempt& attempt, std::string_view source)
{
    m_suspects.recordBreakdown(now, attempt.contentHash, attempt.sendId);
    m_effects.emplace_back(announce_crash { attempt.contentHash, attempt.sendId });
    m_effects.emplace_back(log_decision { "breakdown_confirmed", attempt.sendId,
        { { "endpoint", attempt.endpoint.str() }, { "content", std::to_string(attempt.contentHash) },
            { "source", std::string(source) }, { "age_ms", millisecondsText(now - attempt.brokenAt) } } });
}

void forwarding_reducer::on(const endpoint_death_reported& event)
{
    if (const auto endpoint = m_fleet.atAddress(event.address, event.startedAtMs))
        recordDeath(event.now, *endpoint, "agent");
}

void forwarding_reducer::on(const endpoint_probed& event)
{
    if (event.refused)
        recordDeath(event.now, event.endpoint, "probe");
}

} // namespace appleramp
