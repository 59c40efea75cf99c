#include "decisions/agent/attempt_runner.h"

#include "decisions/configuration/configuration_register.h"
#include "model/enum_names.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace appleramp {

namespace {

constexpr duration answerRetention = std::chrono::seconds(30);
constexpr std::string_view endpointOperation = "agent.endpoint";
// How long a repeatable attempt's id is remembered after its arrival.
constexpr duration repeatableRetention = std::chrono::minutes(10);
constexpr duration retryWhenFull = std::chrono::milliseconds(200);
// How long an attempt that may be repeated goes on without a link to its entry.
constexpr duration abandonedTime = std::chrono::seconds(5);
constexpr std::size_t maxWaitingAlone = 8;
constexpr duration reportDelay = std::chrono::milliseconds(200);
constexpr std::uint16_t statusTooManyRequests = 429;
constexpr std::uint16_t statusUnavailable = 503;

// A model engine that answers so has begun nothing. A plain service may mean anything by it.
bool refusesLoad(const agent_context& context, std::uint16_t status)
{
    const bool isModel = context.self.endpoint.kind == endpoint_kind::ModelEngine;
    return isModel && (status == statusTooManyRequests || status == statusUnavailable);
}

} // namespace

void agent_context::send(link_number link, link_message message) const
{
    effects.emplace_back(send_message { link, { self.life, configuration.version(), std::move(message) } });
}

void agent_context::decide(decision_kind kind, std::string subject, std::string reason) const
{
    effects.emplace_back(record_decision { { now, kind, std::move(subject), std::move(reason) } });
}

void agent_context::sendSuspects() const
{
    const auto risen = suspects.takeRisen();
    if (risen.empty())
        return;
    for (const auto link : entries)
        send(link, suspect_news { risen });
}

void attempt_runner::start(const agent_context& context, link_number link, const start_attempt& message)
{
    if (!mayStillStart(context, link, message))
        return;
    const auto level = context.suspects.levelOf(message.request.contentHash);
    const bool alone = message.suspect || level == suspicion::Suspected;
    if (const auto reason = reasonToRefuse(context, message)) {
        refuse(context, link, message, *reason);
        return;
    }
    if (!alone) {
        if (!context.gate.admits(link, context.now))
            refuse(context, link, message, refusal::NoSlot);
        else
            begin(context, link, message);
        return;
    }
    if (m_waitingAlone.size() >= maxWaitingAlone) {
        refuse(context, link, message, refusal::NoSlot);
        return;
    }
    m_waitingAlone.push_back({ link, message, context.now + message.request.timeout });
    context.decide(decision_kind::Suspect, message.request.traceparent, "waits to run alone");
    startAlone(context);
}

void attempt_runner::startAlone(const agent_context& context)
{
    while (!m_waitingAlone.empty()) {
        auto& next = m_waitingAlone.front();
        const bool isLate = next.deadline <= context.now;
        const bool isConvicted = context.suspects.levelOf(next.message.request.contentHash) == suspicion::Convicted;
        const bool isClosed = context.gate.openSlots() == 0;
        if (!isLate && !isConvicted && !isClosed && (m_alone || !context.gate.admitsAlone()))
            return;
        const auto waiting = std::move(next);
        m_waitingAlone.pop_front();
        if (isLate)
            refuse(context, waiting.link, waiting.message, refusal::Expired);
        else if (isConvicted)
            refuse(context, waiting.link, waiting.message, refusal::SuspectRefused);
        else if (isClosed)
            refuse(context, waiting.link, waiting.message, refusal::NoSlot);
        else if (mayStillStart(context, waiting.link, waiting.message)) {
            begin(context, waiting.link, waiting.message);
            const auto started = m_attempts.find(waiting.message.attempt);
            if (started != m_attempts.end() && !started->second.ended)
                m_alone = started->second.call;
        }
    }
}

void attempt_runner::begin(const agent_context& context, link_number link, const start_attempt& message)
{
    const auto content = contentOf(message.request);
    const auto verdict = m_ledger.begin(message.attempt, content, context.now);
    assert(verdict == attempt_ledger::verdict::Start);
    const auto call = ++m_lastCall;
    const request_trace trace(message.request.traceparent, context.traceIds, context.now);
    m_attempts.emplace(message.attempt,
        kept_attempt { link, call, content.has_value(), message.request.contentHash, answer_buffer(message.attempt), trace });
    m_byCall[call] = message.attempt;
    context.gate.started(call, link, context.now);
    context.decide(decision_kind::Placed, trace.traceId(), "started at the endpoint");
    call_engine effect { call, message.request };
    effect.request.traceparent = trace.traceparent();
    context.effects.emplace_back(std::move(effect));
}

std::optional<refusal> attempt_runner::reasonToRefuse(const agent_context& context, const start_attempt& message) const
{
    const auto& configuration = context.configuration.current();
    if (configuration.zonesOut.contains(context.self.zone))
        return refusal::ZoneOut;
    if (configuration.instancesOut.contains(context.self.instance))
        return refusal::Leaving;
    const auto& services = context.self.endpoint.services;
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
    const auto content = contentOf(message.request);
    m_ledger.refuse(message.attempt, content.has_value(), context.now);
    context.decide(decision_kind::Refused, context.self.endpoint.endpoint.str(), std::string(nameOf(reason)));
    attempt_refused answer { message.attempt, reason, retryWhenFull, std::nullopt };
    if (reason == refusal::KeyUsed)
        answer.earlier = m_ledger.startedWith(content->key);
    context.send(link, answer);
}

void attempt_runner::cancel(const agent_context& context, attempt_id attempt)
{
    const auto found = m_attempts.find(attempt);
    // What may not be repeated runs to its end, so that its outcome is known.
    if (found == m_attempts.end() || found->second.ended || found->second.keyed)
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
    found->second.abandoned.reset();
    if (!found->second.ended)
        context.gate.moved(found->second.call, link);
    for (auto& frame : found->second.answer.from(message.nextFrame))
        context.send(link, std::move(frame));
}

void attempt_runner::engineHead(const agent_context& context, const engine_head& event)
{
    auto* kept = findByCall(event.call);
    if (!kept)
        return;
    if (refusesLoad(context, event.status)) {
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
    context.gate.firstToken(event.call, context.now);
    context.send(kept->link, kept->answer.addBody(event.data));
}

void attempt_runner::engineEnd(const agent_context& context, const engine_end& event)
{
    auto* kept = findByCall(event.call);
    if (!kept)
        return;
    context.send(kept->link, kept->answer.finish());
    if (runsAlone(event.call))
        context.suspects.completedAlone(kept->contentHash, context.now);
    context.gate.completed(event.call);
    end(context, event.call, attempt_state::Completed, nameOf(attempt_state::Completed));
}

void attempt_runner::engineFailed(const agent_context& context, const engine_failed& event)
{
    const auto* kept = findByCall(event.call);
    if (!kept)
        return;
    const bool mayHaveCrashed = event.cause == failure_cause::EndpointCrashed && !event.neverSent;
    if (mayHaveCrashed && runsAlone(event.call)) {
        m_verdict = { event, m_bootId, context.now };
        context.effects.emplace_back(probe_engine {});
        return;
    }
    if (mayHaveCrashed) {
        context.suspects.crashed(kept->contentHash, false, context.now);
        context.decide(decision_kind::Suspect, context.self.endpoint.endpoint.str(), "ran when the endpoint crashed");
    }
    finishFailed(context, event);
}

void attempt_runner::engineProbed(const agent_context& context, const engine_probed& report)
{
    if (report.healthy && !m_verdict)
        m_bootId = report.bootId;
    if (!m_verdict)
        return;
    const bool crashed = !report.healthy || report.bootId != m_verdict->bootId;
    // A report that was on its way when the call broke proves no innocence.
    if (!crashed && context.now < m_verdict->at + reportDelay)
        return;
    const auto verdict = *std::exchange(m_verdict, std::nullopt);
    if (crashed) {
        const auto hash = findByCall(verdict.failure.call)->contentHash;
        context.suspects.crashed(hash, true, context.now);
        context.decide(decision_kind::Suspect, context.self.endpoint.endpoint.str(), "crashed the endpoint alone");
    }
    finishFailed(context, verdict.failure);
}

void attempt_runner::finishFailed(const agent_context& context, const engine_failed& event)
{
    const auto attempt = m_byCall.at(event.call);
    const auto outcome = event.neverSent ? execution::NotRun : execution::Unknown;
    // What is known of the content goes first, so that the entry does not send it anew as an innocent.
    context.sendSuspects();
    context.send(m_attempts.at(attempt).link, attempt_failed { attempt, event.cause, outcome });
    if (event.cause == failure_cause::Cancelled)
        context.gate.cancelled(event.call);
    else
        context.gate.failed(event.call);
    end(context, event.call, event.neverSent ? attempt_state::NeverStarted : attempt_state::Failed, nameOf(event.cause));
}

void attempt_runner::end(const agent_context& context, call_number call, attempt_state outcome,
    std::string_view spanOutcome)
{
    const auto attempt = m_byCall.at(call);
    m_ledger.finish(attempt, outcome);
    auto& kept = m_attempts.at(attempt);
    kept.ended = context.now;
    context.effects.emplace_back(kept.trace.end(endpointOperation, spanOutcome, context.now));
    m_abandoned.erase(attempt);
    m_byCall.erase(call);
    m_lastEnd = context.now;
    if (m_alone == call)
        m_alone.reset();
    if (!kept.keyed)
        return;
    m_storedAnswers.push_back(attempt);
    m_storedBytes += kept.answer.bytes();
    boundAnswers();
}

attempt_runner::kept_attempt* attempt_runner::findByCall(call_number call)
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
        kept.abandoned = context.now;
        m_abandoned.insert(attempt);
    }
}

void attempt_runner::cancelAbandoned(const agent_context& context)
{
    std::erase_if(m_abandoned, [&](const auto& attempt) {
        const auto& kept = m_attempts.at(attempt);
        if (!kept.abandoned)
            return true;
        if (context.now < *kept.abandoned + abandonedTime)
            return false;
        context.effects.emplace_back(cancel_engine_call { kept.call });
        return true;
    });
}

void attempt_runner::forgetOld(const agent_context& context)
{
    cancelAbandoned(context);
    const auto keyRetention = context.configuration.current().defaults.keyRetention;
    std::erase_if(m_attempts, [&](const auto& item) {
        return !item.second.keyed && item.second.ended && *item.second.ended + answerRetention < context.now;
    });
    while (!m_storedAnswers.empty()) {
        const auto found = m_attempts.find(m_storedAnswers.front());
        if (*found->second.ended + keyRetention >= context.now)
            break;
        m_storedBytes -= found->second.answer.bytes();
        m_attempts.erase(found);
        m_storedAnswers.pop_front();
    }
    m_ledger.forgetBefore(context.now - keyRetention, context.now - repeatableRetention);
    if (const auto forgotten = m_ledger.lastForgotten())
        m_grants.forgetThrough(*forgotten);
}

} // namespace appleramp
