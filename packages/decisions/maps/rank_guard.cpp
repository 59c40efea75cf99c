#include "decisions/maps/rank_guard.h"

#include "decisions/maps/lease_record.h"

#include <algorithm>
#include <utility>

namespace appleramp {

namespace {

// An order without an answer in this time is given again; loading weights takes long.
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
    const auto takeOrder = [&](const auto& message) {
        if constexpr (requires { take(event.from, message); })
            take(event.from, message);
    };
    std::visit(takeOrder, event.message);
}

void rank_guard::on(const platform_replied& event)
{
    if (!m_learning || event.operation != *m_learning)
        return;
    m_learning.reset();
    const auto& result = event.result;
    if (result.status == platform_status::NotFound) {
        m_learnt = true;
    } else if (result.status == platform_status::Done && !result.rows.empty()) {
        m_learnt = true;
        const map_round learnt { decodeLease(result.rows.front().value).fencing };
        m_promised = std::max(m_promised, learnt);
    }
}

void rank_guard::on(const time_passed&)
{
    if (!m_learnt)
        learnFencing();
    if (m_outstanding && m_now >= m_outstandingUntil)
        m_outstanding.reset();
    if (!m_engine && !m_outstanding)
        giveOrder(read_engine {});
    if (m_engine && m_engine->held && m_now >= m_lastWord + m_settings.holdPatience)
        askForEnd();
}

void rank_guard::on(const engine_answered& event)
{
    if (!m_outstanding || event.number != *m_outstanding)
        return;
    m_outstanding.reset();
    adopt(event.state);
    if (!m_task || !m_answersTask)
        return;
    const bool wasRead = m_task->done || m_task->kind == phase::Collect;
    if (!event.done) {
        fail(order_refusal::EngineFailed);
        return;
    }
    m_task->fresh = wasRead;
    m_task->done = true;
}

void rank_guard::on(const engine_changed& event)
{
    adopt(event.state);
}

void rank_guard::on(const change_wanted&) { }

// An engine that started anew ends the session: orders and tasks of the session before are void.
void rank_guard::adopt(const engine_state& state)
{
    if (m_engine && state.boot < m_engine->boot)
        return;
    const bool restarted = !m_engine || state.boot != m_engine->boot;
    const bool newlyHeld = state.held && !(m_engine && m_engine->held);
    m_engine = state;
    if (newlyHeld)
        m_lastWord = m_now;
    if (!restarted)
        return;
    m_outstanding.reset();
    if (m_task && m_task->kind == phase::Collect) {
        m_task->done = false;
        m_task->fresh = false;
        return;
    }
    m_task.reset();
}

void rank_guard::take(rank_index from, const collect_rank& order)
{
    if (!m_learnt) {
        refuse(from, order.round, order_refusal::NotLearnt);
        return;
    }
    if (order.round == m_promised && (m_task || m_reached != phase::Collect))
        return;
    if (order.round < m_promised) {
        refuse(from, order.round, order_refusal::Stale);
        return;
    }
    m_promised = order.round;
    m_reached = phase::Collect;
    task next;
    next.kind = phase::Collect;
    next.round = order.round;
    next.replyTo = from;
    begin(std::move(next));
}

void rank_guard::take(rank_index from, const prepare_rank& order)
{
    if (isLate(order.round, phase::Prepare))
        return;
    if (const auto reason = objection(order.round, order.session)) {
        refuse(from, order.round, *reason);
        return;
    }
    begin({ .kind = phase::Prepare, .round = order.round, .replyTo = from, .version = order.version, .content = order.content });
}

void rank_guard::take(rank_index from, const hold_rank& order)
{
    if (isLate(order.round, phase::Hold))
        return;
    if (const auto reason = objection(order.round, order.session)) {
        refuse(from, order.round, *reason);
        return;
    }
    task next;
    next.kind = phase::Hold;
    next.round = order.round;
    next.replyTo = from;
    next.beforeStep = order.beforeStep;
    begin(std::move(next));
}

void rank_guard::take(rank_index from, const install_rank& order)
{
    if (isLate(order.round, phase::Install))
        return;
    if (const auto reason = objection(order.round, order.session)) {
        refuse(from, order.round, *reason);
        return;
    }
    begin({ .kind = phase::Install, .round = order.round, .replyTo = from, .version = order.version });
}

void rank_guard::take(rank_index from, const resume_rank& order)
{
    if (isLate(order.round, phase::Resume))
        return;
    if (const auto reason = objection(order.round, order.session)) {
        refuse(from, order.round, *reason);
        return;
    }
    begin({ .kind = phase::Resume, .round = order.round, .replyTo = from, .version = order.version });
}

// A late copy of an order from an earlier part of the round.
bool rank_guard::isLate(const map_round& round, phase kind) const
{
    return round == m_promised && kind < m_reached;
}

std::optional<order_refusal> rank_guard::objection(const map_round& round, const guard_session& session) const
{
    if (!m_learnt)
        return order_refusal::NotLearnt;
    if (round < m_promised)
        return order_refusal::Stale;
    if (!m_engine || session != guard_session { m_agent, m_engine->boot })
        return order_refusal::OtherSession;
    // A rank takes orders only of a round to which it gave its snapshot.
    if (round > m_promised)
        return order_refusal::OutOfOrder;
    return std::nullopt;
}

// A repeated order finds its task running, or done: then the engine's state answers it again.
void rank_guard::begin(task next)
{
    m_lastWord = m_now;
    const bool repeated = m_task && m_task->round == next.round && m_task->kind == next.kind && m_task->version == next.version
        && m_task->beforeStep == next.beforeStep && next.kind != phase::Collect;
    if (repeated)
        return;
    m_reached = next.kind;
    m_task = std::move(next);
    m_answersTask = false;
    // Loading changes nothing that is in force and may go on beside what comes next.
    if (m_preparing)
        m_outstanding.reset();
}

void rank_guard::advance()
{
    if (!m_task || m_outstanding)
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

// A hold of an earlier round that has not been reached is dropped, so that the answer stays true.
void rank_guard::advanceCollect()
{
    if (!m_task->fresh) {
        giveOrder(read_engine {});
        return;
    }
    if (m_engine->holdPending) {
        m_task->fresh = false;
        giveOrder(resume_engine {});
        return;
    }
    finish(rank_snapshot { m_task->round, { m_agent, m_engine->boot }, m_engine->installed, m_engine->lastRun,
        m_engine->held, m_engine->nextStep });
}

void rank_guard::advancePrepare()
{
    if (m_task->done)
        finish(rank_prepared { m_task->round, m_engine->nextStep });
    else
        giveOrder(prepare_engine { m_task->version, m_task->content });
}

void rank_guard::advanceHold()
{
    if (m_engine->held && m_engine->nextStep >= m_task->beforeStep)
        finish(rank_held { m_task->round, m_engine->nextStep });
    else if (!m_task->done)
        giveOrder(hold_engine { m_task->beforeStep });
    else if (!m_engine->holdPending)
        finish(hold_passed { m_task->round, m_engine->nextStep });
}

// Installs and then reads back; what the engine says of its own order does not count.
void rank_guard::advanceInstall()
{
    if (!m_engine->held) {
        fail(order_refusal::OutOfOrder);
    } else if (m_task->done && m_task->fresh) {
        finish(rank_installed { m_task->round, m_engine->installed });
    } else if (m_task->done) {
        giveOrder(read_engine {});
    } else {
        giveOrder(install_engine { m_task->version });
    }
}

void rank_guard::advanceResume()
{
    if (m_engine->installed != m_task->version) {
        fail(order_refusal::OutOfOrder);
    } else if (!m_engine->held) {
        finish(rank_resumed { m_task->round });
    } else {
        giveOrder(resume_engine {});
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

void rank_guard::giveOrder(engine_order order)
{
    m_answersTask = m_task.has_value();
    m_outstanding = m_nextOrder++;
    m_preparing = std::holds_alternative<prepare_engine>(order);
    m_outstandingUntil = m_now + (m_preparing ? prepareTimeout : orderTimeout);
    const auto boot = m_engine ? m_engine->boot : 0;
    auto& effect = std::get<order_engine>(m_effects.emplace_back(std::in_place_type<order_engine>));
    effect.number = *m_outstanding;
    effect.boot = boot;
    effect.fencing = m_task ? m_task->round.fencing : m_promised.fencing;
    effect.order = std::move(order);
}

void rank_guard::learnFencing()
{
    if (m_learning && m_now < m_learningSince + tableTimeout)
        return;
    m_learning = m_nextOperation++;
    m_learningSince = m_now;
    m_effects.push_back(call_platform { *m_learning, table_get { m_leaseKey } });
}

void rank_guard::askForEnd()
{
    if (!m_learnt)
        return;
    m_lastWord = m_now - m_settings.holdPatience + m_settings.retryInterval;
    m_effects.push_back(send_map_message { 0, ending_wanted { m_promised } });
}

} // namespace appleramp
