#include "decisions/agent/attempt_runner.h"

#include "decisions/configuration/configuration_register.h"
#include "model/enum_names.h"

#include <algorithm>

namespace appleramp {

namespace {

constexpr duration answerRetention = std::chrono::seconds(30);
constexpr std::string_view endpointOperation = "agent.endpoint";
constexpr duration retryWhenFull = std::chrono::milliseconds(200);

} // namespace

void agent_context::send(link_number link, link_message message) const
{
    effects.emplace_back(send_message { link, { self.life, configuration.version(), std::move(message) } });
}

void agent_context::decide(decision_kind kind, std::string subject, std::string reason) const
{
    effects.emplace_back(record_decision { { now, kind, std::move(subject), std::move(reason) } });
}

void attempt_runner::start(const agent_context& context, link_number link, const start_attempt& message)
{
    if (const auto reason = reasonToRefuse(context, message)) {
        refuse(context, link, message.attempt, *reason);
        return;
    }
    const auto key = message.request.repeatable ? std::nullopt : message.request.key;
    switch (m_ledger.begin(message.attempt, key, context.now)) {
    case attempt_ledger::verdict::Repeated:
        return;
    case attempt_ledger::verdict::Refused:
        refuse(context, link, message.attempt, refusal::Tombstone);
        return;
    case attempt_ledger::verdict::KeyUsed:
        refuse(context, link, message.attempt, refusal::KeyUsed);
        return;
    case attempt_ledger::verdict::Start:
        break;
    }
    const auto call = ++m_lastCall;
    const request_trace trace(message.request.traceparent, context.traceIds, context.now);
    m_attempts.emplace(message.attempt,
        kept_attempt { link, call, key.has_value(), answer_buffer(message.attempt), trace, std::nullopt });
    m_byCall[call] = message.attempt;
    context.gate.started();
    context.decide(decision_kind::Placed, trace.subject(), "started at the endpoint");
    call_engine effect { call, message.request };
    effect.request.traceparent = trace.traceparent();
    context.effects.emplace_back(std::move(effect));
}

std::optional<refusal> attempt_runner::reasonToRefuse(const agent_context& context, const start_attempt& message) const
{
    if (m_attempts.contains(message.attempt))
        return std::nullopt;
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
    if (!context.gate.admits())
        return refusal::NoSlot;
    return std::nullopt;
}

void attempt_runner::refuse(const agent_context& context, link_number link, attempt_id attempt, refusal reason)
{
    m_ledger.refuse(attempt, context.now);
    context.decide(decision_kind::Refused, context.self.endpoint.endpoint.str(), std::string(nameOf(reason)));
    context.send(link, attempt_refused { attempt, reason, retryWhenFull });
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
        context.send(link, attempt_failed { message.attempt, failure_cause::AgentForgot, execution::Unknown });
        return;
    }
    found->second.link = link;
    for (auto& frame : found->second.answer.from(message.nextFrame))
        context.send(link, std::move(frame));
}

void attempt_runner::query(const agent_context& context, link_number link, attempt_id attempt)
{
    context.send(link, attempt_report { attempt, m_ledger.query(attempt, context.now) });
}

void attempt_runner::engineHead(const agent_context& context, const engine_head& event)
{
    if (auto* kept = findByCall(event.call))
        context.send(kept->link, kept->answer.addHead(event.status, event.headers));
}

void attempt_runner::engineData(const agent_context& context, const engine_data& event)
{
    if (auto* kept = findByCall(event.call))
        context.send(kept->link, kept->answer.addBody(event.data));
}

void attempt_runner::engineEnd(const agent_context& context, const engine_end& event)
{
    auto* kept = findByCall(event.call);
    if (!kept)
        return;
    context.send(kept->link, kept->answer.finish());
    context.gate.completed();
    end(context, event.call, attempt_state::Completed, nameOf(attempt_state::Completed));
}

void attempt_runner::engineFailed(const agent_context& context, const engine_failed& event)
{
    auto* kept = findByCall(event.call);
    if (!kept)
        return;
    const auto outcome = event.neverSent ? execution::NotRun : execution::Unknown;
    context.send(kept->link, attempt_failed { m_byCall.at(event.call), event.cause, outcome });
    if (event.cause == failure_cause::Cancelled)
        context.gate.completed();
    else
        context.gate.failed();
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
    m_byCall.erase(call);
}

attempt_runner::kept_attempt* attempt_runner::findByCall(call_number call)
{
    const auto attempt = m_byCall.find(call);
    return attempt == m_byCall.end() ? nullptr : &m_attempts.at(attempt->second);
}

void attempt_runner::forgetOld(const agent_context& context)
{
    const auto keyRetention = context.configuration.current().defaults.keyRetention;
    std::erase_if(m_attempts, [&](const auto& item) {
        const auto retention = item.second.keyed ? keyRetention : answerRetention;
        return item.second.ended && *item.second.ended + retention < context.now;
    });
    m_ledger.forgetBefore(context.now - keyRetention);
}

} // namespace appleramp
