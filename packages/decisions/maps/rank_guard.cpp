#include "decisions/maps/rank_guard.h"

#include "decisions/maps/lease_record.h"

#include <algorithm>
#include <utility>

namespace appleramp {

namespace {

// An order that is not answered within its timeout is sent again. Loading weights takes long.
constexpr duration prepareTimeout = std::chrono::minutes(10);
constexpr duration orderTimeout = std::chrono::seconds(2);
constexpr duration tableTimeout = std::chrono::seconds(1);

} // namespace

rank_guard::rank_guard(const group_id& group, rank_index rank, incarnation agent, guard_settings settings)
    : m_rank(rank)
    , m_leaseKey(leaseKey(group))
    , m_agent(agent)
    , m_settings(settings)
{
}

maps_effects rank_guard::handle(const maps_event& event)
{
    m_now = event.at;
    std::visit([this](const auto& body) { on(body); }, event.body);
    advance();
    return std::exchange(m_effects, {});
}

void rank_guard::on(const map_message_received& event)
{
    const auto dispatch = [&](const auto& message) {
        if constexpr (requires { take(event.from, message); })
            take(event.from, message);
    };
    std::visit(dispatch, event.message);
}

void rank_guard::on(const platform_replied& event)
{
    if (!m_fencingRead || event.operation != *m_fencingRead)
        return;
    m_fencingRead.reset();
    const auto& result = event.result;
    if (result.status == platform_status::NotFound) {
        m_fencingKnown = true;
    } else if (result.status == platform_status::Done && !result.rows.empty()) {
        m_fencingKnown = true;
        const map_round tableRound { decodeLease(result.rows.front().value).fencing };
        m_promised = std::max(m_promised, tableRound);
    }
}

void rank_guard::on(const time_passed&)
{
    if (!m_fencingKnown)
        readFencing();
    if (m_outstandingOrder && m_now >= m_orderDeadline)
        m_outstandingOrder.reset();
    if (!m_engine && !m_outstandingOrder)
        orderEngine(read_engine {});
    if (m_engine && m_engine->held && m_now >= m_lastOrderAt + m_settings.maxHoldSilence)
        requestEnding();
}

void rank_guard::on(const engine_answered& event)
{
    if (!m_outstandingOrder || event.number != *m_outstandingOrder)
        return;
    m_outstandingOrder.reset();
    updateEngineState(event.state);
    if (!m_task || !m_orderServesTask)
        return;
    const bool wasRead = m_task->applied || m_task->kind == phase::Collect;
    if (!event.succeeded) {
        fail(order_refusal::EngineFailed);
        return;
    }
    m_task->stateRead = wasRead;
    m_task->applied = true;
}

void rank_guard::on(const engine_changed& event)
{
    updateEngineState(event.state);
}

void rank_guard::on(const change_wanted&) { }

// A restart of the engine ends the session and voids its outstanding order and task. A collect is not bound to a
// session, so it starts over.
void rank_guard::updateEngineState(const engine_state& state)
{
    if (m_engine && state.boot < m_engine->boot)
        return;
    const bool restarted = !m_engine || state.boot != m_engine->boot;
    const bool newlyHeld = state.held && !(m_engine && m_engine->held);
    m_engine = state;
    if (newlyHeld)
        m_lastOrderAt = m_now;
    if (!restarted)
        return;
    m_outstandingOrder.reset();
    if (m_task && m_task->kind == phase::Collect) {
        m_task->applied = false;
        m_task->stateRead = false;
        return;
    }
    m_task.reset();
}

void rank_guard::take(rank_index from, const collect_rank& order)
{
    if (!m_fencingKnown) {
        refuse(from, order.round, order_refusal::FencingUnknown);
        return;
    }
    if (order.round == m_promised && (m_task || m_reachedPhase != phase::Collect))
        return;
    if (order.round < m_promised) {
        refuse(from, order.round, order_refusal::Stale);
        return;
    }
    m_promised = order.round;
    m_reachedPhase = phase::Collect;
    task next;
    next.kind = phase::Collect;
    next.round = order.round;
    next.replyTo = from;
    startTask(std::move(next));
}

void rank_guard::take(rank_index from, const prepare_rank& order)
{
    if (isLateCopy(order.round, phase::Prepare))
        return;
    if (const auto reason = refusalReason(order.round, order.session)) {
        refuse(from, order.round, *reason);
        return;
    }
    startTask({ .kind = phase::Prepare,
        .round = order.round,
        .replyTo = from,
        .version = order.version,
        .change = order.change });
}

void rank_guard::take(rank_index from, const hold_rank& order)
{
    if (isLateCopy(order.round, phase::Hold))
        return;
    if (const auto reason = refusalReason(order.round, order.session)) {
        refuse(from, order.round, *reason);
        return;
    }
    task next;
    next.kind = phase::Hold;
    next.round = order.round;
    next.replyTo = from;
    next.beforeStep = order.beforeStep;
    startTask(std::move(next));
}

void rank_guard::take(rank_index from, const install_rank& order)
{
    if (isLateCopy(order.round, phase::Install))
        return;
    if (const auto reason = refusalReason(order.round, order.session)) {
        refuse(from, order.round, *reason);
        return;
    }
    startTask({ .kind = phase::Install, .round = order.round, .replyTo = from, .version = order.version });
}

void rank_guard::take(rank_index from, const resume_rank& order)
{
    if (isLateCopy(order.round, phase::Resume))
        return;
    if (const auto reason = refusalReason(order.round, order.session)) {
        refuse(from, order.round, *reason);
        return;
    }
    startTask({ .kind = phase::Resume, .round = order.round, .replyTo = from, .version = order.version });
}

// True for a delayed copy of an order from an earlier phase of the round.
bool rank_guard::isLateCopy(const map_round& round, phase kind) const
{
    return round == m_promised && kind < m_reachedPhase;
}

std::optional<order_refusal> rank_guard::refusalReason(const map_round& round, const guard_session& session) const
{
    if (!m_fencingKnown)
        return order_refusal::FencingUnknown;
    if (round < m_promised)
        return order_refusal::Stale;
    if (!m_engine || session != guard_session { m_agent, m_engine->boot })
        return order_refusal::SessionChanged;
    // A rank only accepts orders of a round for which it was collected.
    if (round > m_promised)
        return order_refusal::OutOfOrder;
    return std::nullopt;
}

// Ignores an order whose task is already running. If the task has finished, it runs again, and the engine's state
// provides the answer.
void rank_guard::startTask(task next)
{
    m_lastOrderAt = m_now;
    const bool repeated = m_task && m_task->round == next.round && m_task->kind == next.kind
        && m_task->version == next.version && m_task->beforeStep == next.beforeStep && next.kind != phase::Collect;
    if (repeated)
        return;
    m_reachedPhase = next.kind;
    m_task = std::move(next);
    m_orderServesTask = false;
    // Loading does not change the active version, so the next order need not wait for it.
    if (m_orderIsPrepare)
        m_outstandingOrder.reset();
}

void rank_guard::advance()
{
    if (!m_task || m_outstandingOrder)
        return;
    switch (m_task->kind) {
    case phase::Collect:
        advanceCollect();
        return;
    case phase::Prepare:
        advancePrepare();
        return;
    case phase::Hold:
        advanceHold();
        return;
    case phase::Install:
        advanceInstall();
        return;
    case phase::Resume:
        advanceResume();
        return;
    }
}

// Cancels a pending hold of an earlier round first, since it would make the snapshot wrong once it is reached.
void rank_guard::advanceCollect()
{
    if (!m_task->stateRead) {
        orderEngine(read_engine {});
        return;
    }
    if (m_engine->holdPending) {
        m_task->stateRead = false;
        orderEngine(resume_engine {});
        return;
    }
    finish(rank_snapshot { m_task->round, { m_agent, m_engine->boot }, m_engine->installed, m_engine->lastRun,
        m_engine->held, m_engine->nextStep });
}

void rank_guard::advancePrepare()
{
    if (m_task->applied)
        finish(rank_prepared { m_task->round, m_engine->nextStep });
    else
        orderEngine(prepare_engine { m_task->version, m_task->change });
}

void rank_guard::advanceHold()
{
    if (m_engine->held && m_engine->nextStep >= m_task->beforeStep)
        finish(rank_held { m_task->round, m_engine->nextStep });
    else if (!m_task->applied)
        orderEngine(hold_engine { m_task->beforeStep });
    else if (!m_engine->holdPending)
        finish(hold_passed { m_task->round, m_engine->nextStep });
}

// Installs the version and then reads the state back: the engine's own confirmation is not trusted.
void rank_guard::advanceInstall()
{
    if (!m_engine->held) {
        fail(order_refusal::OutOfOrder);
    } else if (m_task->applied && m_task->stateRead) {
        finish(rank_installed { m_task->round, m_engine->installed });
    } else if (m_task->applied) {
        orderEngine(read_engine {});
    } else {
        orderEngine(install_engine { m_task->version });
    }
}

void rank_guard::advanceResume()
{
    if (m_engine->installed != m_task->version) {
        fail(order_refusal::OutOfOrder);
    } else if (!m_engine->held) {
        finish(rank_resumed { m_task->round });
    } else {
        orderEngine(resume_engine {});
    }
}

void rank_guard::finish(map_message answer)
{
    m_effects.push_back(send_map_message { m_task->replyTo, std::move(answer) });
    m_task.reset();
}

void rank_guard::fail(order_refusal reason)
{
    refuse(m_task->replyTo, m_task->round, reason);
    m_task.reset();
}

void rank_guard::refuse(rank_index to, const map_round& round, order_refusal reason)
{
    m_effects.push_back(send_map_message { to, rank_refused { round, reason, m_promised } });
}

void rank_guard::orderEngine(engine_order order)
{
    m_orderServesTask = m_task.has_value();
    m_outstandingOrder = m_nextOrder++;
    m_orderIsPrepare = std::holds_alternative<prepare_engine>(order);
    m_orderDeadline = m_now + (m_orderIsPrepare ? prepareTimeout : orderTimeout);
    const auto boot = m_engine ? m_engine->boot : 0;
    auto& effect = std::get<order_engine>(m_effects.emplace_back(std::in_place_type<order_engine>));
    effect.number = *m_outstandingOrder;
    effect.boot = boot;
    effect.fencing = m_task ? m_task->round.fencing : m_promised.fencing;
    effect.order = std::move(order);
}

void rank_guard::readFencing()
{
    if (m_fencingRead && m_now < m_fencingReadStarted + tableTimeout)
        return;
    m_fencingRead = m_nextOperation++;
    m_fencingReadStarted = m_now;
    m_effects.push_back(call_platform { *m_fencingRead, table_get { m_leaseKey } });
}

void rank_guard::requestEnding()
{
    if (!m_fencingKnown)
        return;
    m_lastOrderAt = m_now - m_settings.maxHoldSilence + m_settings.retryInterval;
    m_effects.push_back(send_map_message { 0, ending_wanted { m_promised } });
}

} // namespace appleramp
