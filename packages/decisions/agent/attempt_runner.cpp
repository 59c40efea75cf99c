#include "decisions/agent/attempt_runner.h"

#include "decisions/configuration/configuration_register.h"
#include "model/enum_names.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace appleramp {

namespace {

// How long the response of an ended repeatable attempt is retained.
constexpr duration answerRetention = std::chrono::seconds(30);
constexpr std::string_view endpointOperation = "agent.endpoint";
// How long the ledger remembers a repeatable attempt's id after its arrival.
constexpr duration repeatableRetention = std::chrono::minutes(10);
constexpr duration retryAfterWhenFull = std::chrono::milliseconds(200);
// How long a repeatable attempt keeps running without a link to its entry.
constexpr duration disconnectGracePeriod = std::chrono::seconds(5);
constexpr std::size_t maxWaitingAlone = 8;
constexpr duration crashReportDelay = std::chrono::milliseconds(200);
constexpr std::uint16_t statusTooManyRequests = 429;
constexpr std::uint16_t statusUnavailable = 503;

// True if the status means that the endpoint refused the request without starting it. That holds for model engines
// only; a plain service may return these statuses after it has done work.
bool isLoadRefusal(const agent_context& context, std::uint16_t status)
{
    const bool isModel = context.identity.endpoint.kind == endpoint_kind::ModelEngine;
    return isModel && (status == statusTooManyRequests || status == statusUnavailable);
}

} // namespace

void agent_context::send(link_number link, link_message message) const
{
    effects.emplace_back(send_message { link, { identity.life, configuration.version(), std::move(message) } });
}

void agent_context::recordDecision(decision_kind kind, std::string subject, std::string reason) const
{
    effects.emplace_back(record_decision { { now, kind, std::move(subject), std::move(reason) } });
}

void agent_context::broadcastSuspects() const
{
    const auto updates = suspects.takeUpdates();
    if (updates.empty())
        return;
    for (const auto link : entries)
        send(link, suspect_news { updates });
}

void attempt_runner::start(const agent_context& context, link_number link, const start_attempt& message)
{
    if (!checkMayStart(context, link, message))
        return;
    const auto level = context.suspects.levelOf(message.request.contentHash);
    const bool alone = message.suspect || level == suspicion::Suspected;
    if (const auto reason = refusalReason(context, message)) {
        refuse(context, link, message, *reason);
        return;
    }
    if (!alone) {
        if (!context.gate.admits(link, context.now))
            refuse(context, link, message, refusal::NoSlot);
        else
            callEndpoint(context, link, message);
        return;
    }
    if (m_waitingAlone.size() >= maxWaitingAlone) {
        refuse(context, link, message, refusal::NoSlot);
        return;
    }
    m_waitingAlone.push_back({ link, message, context.now + message.request.timeout });
    context.recordDecision(decision_kind::Suspect, message.request.traceparent, "waits to run alone");
    startWaitingAlone(context);
}

void attempt_runner::startWaitingAlone(const agent_context& context)
{
    while (!m_waitingAlone.empty()) {
        auto& next = m_waitingAlone.front();
        const bool isLate = next.deadline <= context.now;
        const bool isConvicted = context.suspects.levelOf(next.message.request.contentHash) == suspicion::Convicted;
        const bool isClosed = context.gate.openSlots() == 0;
        if (!isLate && !isConvicted && !isClosed && (m_aloneCall || !context.gate.admitsExclusive()))
            return;
        const auto waiting = std::move(next);
        m_waitingAlone.pop_front();
        if (isLate)
            refuse(context, waiting.link, waiting.message, refusal::Expired);
        else if (isConvicted)
            refuse(context, waiting.link, waiting.message, refusal::SuspectRefused);
        else if (isClosed)
            refuse(context, waiting.link, waiting.message, refusal::NoSlot);
        else if (checkMayStart(context, waiting.link, waiting.message)) {
            callEndpoint(context, waiting.link, waiting.message);
            const auto started = m_attempts.find(waiting.message.attempt);
            if (started != m_attempts.end() && !started->second.endedAt)
                m_aloneCall = started->second.call;
        }
    }
}

void attempt_runner::callEndpoint(const agent_context& context, link_number link, const start_attempt& message)
{
    const auto content = keyedContentOf(message.request);
    const auto decision = m_ledger.begin(message.attempt, content, context.now);
    assert(decision == attempt_ledger::start_decision::Start);
    const auto call = ++m_lastCall;
    const request_trace trace(message.request.traceparent, context.traceIds, context.now);
    m_attempts.emplace(message.attempt,
        retained_attempt { link, call, content.has_value(), message.request.contentHash,
            response_buffer(message.attempt), trace });
    m_byCall[call] = message.attempt;
    context.gate.callStarted(call, link, context.now);
    context.recordDecision(decision_kind::Placed, trace.traceId(), "started at the endpoint");
    call_engine effect { call, message.request };
    effect.request.traceparent = trace.traceparent();
    context.effects.emplace_back(std::move(effect));
}

std::optional<refusal> attempt_runner::refusalReason(const agent_context& context, const start_attempt& message) const
{
    const auto& configuration = context.configuration.current();
    if (configuration.zonesOut.contains(context.identity.zone))
        return refusal::ZoneOut;
    if (configuration.instancesOut.contains(context.identity.instance))
        return refusal::Leaving;
    const auto& services = context.identity.endpoint.services;
    if (std::find(services.begin(), services.end(), message.request.service) == services.end())
        return refusal::NotServed;
    if (message.request.timeout <= duration::zero())
        return refusal::Expired;
    if (context.suspects.levelOf(message.request.contentHash) == suspicion::Convicted)
        return refusal::SuspectRefused;
    return std::nullopt;
}

void attempt_runner::refuse(const agent_context& context, link_number link, const start_attempt& message,
    refusal reason)
{
    const auto content = keyedContentOf(message.request);
    m_ledger.leaveTombstone(message.attempt, content.has_value(), context.now);
    context.recordDecision(decision_kind::Refused, context.identity.endpoint.endpoint.str(), std::string(nameOf(reason)));
    attempt_refused answer { message.attempt, reason, retryAfterWhenFull, std::nullopt };
    if (reason == refusal::KeyUsed)
        answer.earlier = m_ledger.findStarted(content->key);
    context.send(link, answer);
}

void attempt_runner::cancel(const agent_context& context, attempt_id attempt)
{
    const auto found = m_attempts.find(attempt);
    // Non-repeatable attempts run to completion, so that their outcome is known.
    if (found == m_attempts.end() || found->second.endedAt || found->second.keyed)
        return;
    context.effects.emplace_back(cancel_engine_call { found->second.call });
}

void attempt_runner::resume(const agent_context& context, link_number link, const resume_attempt& message)
{
    const auto found = m_attempts.find(message.attempt);
    if (found == m_attempts.end()) {
        const bool completed = m_ledger.find(message.attempt) == attempt_state::Completed;
        const auto outcome = completed ? execution::Completed : execution::Unknown;
        context.send(link, attempt_failed { message.attempt, failure_cause::AgentForgot, outcome });
        return;
    }
    found->second.link = link;
    found->second.disconnectedAt.reset();
    if (!found->second.endedAt)
        context.gate.changeLink(found->second.call, link);
    for (auto& frame : found->second.answer.framesFrom(message.nextFrame))
        context.send(link, std::move(frame));
}

void attempt_runner::engineHead(const agent_context& context, const engine_head& event)
{
    auto* kept = findByCall(event.call);
    if (!kept)
        return;
    if (isLoadRefusal(context, event.status)) {
        engineFailed(context, { event.call, failure_cause::LoadRefused, true });
        return;
    }
    context.send(kept->link, kept->answer.addHead(event.status, event.headers));
}

void attempt_runner::engineData(const agent_context& context, const engine_data& event)
{
    auto* kept = findByCall(event.call);
    if (!kept)
        return;
    context.gate.firstTokenArrived(event.call, context.now);
    context.send(kept->link, kept->answer.addBody(event.data));
}

void attempt_runner::engineEnd(const agent_context& context, const engine_end& event)
{
    auto* kept = findByCall(event.call);
    if (!kept)
        return;
    context.send(kept->link, kept->answer.finish());
    if (runsAlone(event.call))
        context.suspects.recordSoloCompletion(kept->contentHash, context.now);
    context.gate.callCompleted(event.call);
    finishAttempt(context, event.call, attempt_state::Completed, nameOf(attempt_state::Completed));
}

void attempt_runner::engineFailed(const agent_context& context, const engine_failed& event)
{
    const auto* kept = findByCall(event.call);
    if (!kept)
        return;
    const bool mayHaveCrashed = event.cause == failure_cause::EndpointCrashed && !event.neverSent;
    if (mayHaveCrashed && runsAlone(event.call)) {
        m_crashCheck = { event, m_bootId, context.now };
        context.effects.emplace_back(probe_engine {});
        return;
    }
    if (mayHaveCrashed) {
        context.suspects.recordCrash(kept->contentHash, false, context.now);
        context.recordDecision(decision_kind::Suspect, context.identity.endpoint.endpoint.str(),
            "ran when the endpoint crashed");
    }
    failAttempt(context, event);
}

void attempt_runner::engineProbed(const agent_context& context, const engine_probed& report)
{
    if (report.healthy && !m_crashCheck)
        m_bootId = report.bootId;
    if (!m_crashCheck)
        return;
    const bool crashed = !report.healthy || report.bootId != m_crashCheck->bootId;
    // A probe report sent before the call failed would show a healthy endpoint even if it has crashed since.
    if (!crashed && context.now < m_crashCheck->failedAt + crashReportDelay)
        return;
    const auto check = *std::exchange(m_crashCheck, std::nullopt);
    if (crashed) {
        const auto hash = findByCall(check.failure.call)->contentHash;
        context.suspects.recordCrash(hash, true, context.now);
        context.recordDecision(decision_kind::Suspect, context.identity.endpoint.endpoint.str(),
            "crashed the endpoint alone");
    }
    failAttempt(context, check.failure);
}

void attempt_runner::failAttempt(const agent_context& context, const engine_failed& event)
{
    const auto attempt = m_byCall.at(event.call);
    const auto outcome = event.neverSent ? execution::NotRun : execution::Unknown;
    // Sent before the failure, so that the entry already treats the content as suspected if it retries.
    context.broadcastSuspects();
    context.send(m_attempts.at(attempt).link, attempt_failed { attempt, event.cause, outcome });
    if (event.cause == failure_cause::Cancelled)
        context.gate.callCancelled(event.call);
    else
        context.gate.callFailed(event.call);
    finishAttempt(context, event.call, event.neverSent ? attempt_state::NeverStarted : attempt_state::Failed, nameOf(event.cause));
}

void attempt_runner::finishAttempt(const agent_context& context, call_number call, attempt_state outcome,
    std::string_view spanOutcome)
{
    const auto attempt = m_byCall.at(call);
    m_ledger.finish(attempt, outcome);
    auto& kept = m_attempts.at(attempt);
    kept.endedAt = context.now;
    context.effects.emplace_back(kept.trace.end(endpointOperation, spanOutcome, context.now));
    m_disconnected.erase(attempt);
    m_byCall.erase(call);
    m_lastAttemptEnd = context.now;
    if (m_aloneCall == call)
        m_aloneCall.reset();
    if (!kept.keyed)
        return;
    m_storedAnswers.push_back(attempt);
    m_storedBytes += kept.answer.bodyBytes();
    evictStoredAnswers();
}

attempt_runner::retained_attempt* attempt_runner::findByCall(call_number call)
{
    const auto attempt = m_byCall.find(call);
    return attempt == m_byCall.end() ? nullptr : &m_attempts.at(attempt->second);
}

void attempt_runner::linkClosed(const agent_context& context, link_number link)
{
    std::erase_if(m_waitingAlone, [link](const auto& waiting) { return waiting.link == link; });
    for (const auto& [call, attempt] : m_byCall) {
        auto& kept = m_attempts.at(attempt);
        if (kept.link != link || kept.keyed)
            continue;
        kept.disconnectedAt = context.now;
        m_disconnected.insert(attempt);
    }
}

void attempt_runner::cancelDisconnected(const agent_context& context)
{
    std::erase_if(m_disconnected, [&](const auto& attempt) {
        const auto& kept = m_attempts.at(attempt);
        if (!kept.disconnectedAt)
            return true;
        if (context.now < *kept.disconnectedAt + disconnectGracePeriod)
            return false;
        context.effects.emplace_back(cancel_engine_call { kept.call });
        return true;
    });
}

void attempt_runner::removeExpired(const agent_context& context)
{
    cancelDisconnected(context);
    const auto keyRetention = context.configuration.current().defaults.keyRetention;
    std::erase_if(m_attempts, [&](const auto& item) {
        return !item.second.keyed && item.second.endedAt && *item.second.endedAt + answerRetention < context.now;
    });
    while (!m_storedAnswers.empty()) {
        const auto found = m_attempts.find(m_storedAnswers.front());
        if (*found->second.endedAt + keyRetention >= context.now)
            break;
        m_storedBytes -= found->second.answer.bodyBytes();
        m_attempts.erase(found);
        m_storedAnswers.pop_front();
    }
    m_ledger.forgetBefore(context.now - keyRetention, context.now - repeatableRetention);
    if (const auto forgotten = m_ledger.lastForgotten())
        m_keyGrants.forgetThrough(*forgotten);
}

} // namespace appleramp
