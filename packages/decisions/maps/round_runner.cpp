#include "decisions/maps/round_runner.h"

#include <algorithm>
#include <cassert>
#include <map>
#include <utility>

namespace appleramp {

namespace {

std::string rankName(rank_index rank)
{
    return "rank " + std::to_string(rank);
}

std::string_view describe(order_refusal reason)
{
    switch (reason) {
    case order_refusal::Stale:
        return "has answered to a later round";
    case order_refusal::FencingUnknown:
        return "has not learnt the highest fencing number yet";
    case order_refusal::SessionChanged:
        return "started anew during the round";
    case order_refusal::OutOfOrder:
        return "was not in a state for the order";
    case order_refusal::EngineFailed:
        return "has an engine that failed";
    }
    return "refused";
}

} // namespace

round_runner::round_runner(std::uint32_t ranks, round_settings settings)
    : m_settings(settings)
    , m_ranks(ranks)
{
}

void round_runner::start(
    instant now, const map_round& round, std::optional<group_change> change, maps_effects& effects)
{
    m_now = now;
    m_effects = &effects;
    m_outcome = round_outcome::Running;
    m_round = round;
    m_change = std::move(change);
    m_repairing = false;
    m_reason.clear();
    notePromised(round);
    std::ranges::fill(m_ranks, rank_record {});
    enterPhase(phase::Collect);
}

void round_runner::notePromised(const map_round& round)
{
    m_highestPromised = std::max(m_highestPromised, round);
}

void round_runner::onMessage(instant now, rank_index from, const map_message& message, maps_effects& effects)
{
    if (m_outcome != round_outcome::Running || from >= m_ranks.size())
        return;
    m_now = now;
    m_effects = &effects;
    const auto take = [&](const auto& answer) {
        if constexpr (requires { on(from, answer); }) {
            if (answer.round == m_round)
                on(from, answer);
        }
    };
    std::visit(take, message);
    if (m_outcome == round_outcome::Running && allAnswered())
        nextPhase();
}

void round_runner::onTime(instant now, maps_effects& effects)
{
    if (m_outcome != round_outcome::Running)
        return;
    m_now = now;
    m_effects = &effects;
    if (now >= m_deadline) {
        const auto missing = std::ranges::find_if(
            m_ranks, [](const auto& record) { return record.involved && !record.answered; });
        finish(round_outcome::Failed, rankName(rank_index(missing - m_ranks.begin())) + " did not answer in time");
        return;
    }
    if (now >= m_nextSendAt)
        sendOrders();
}

void round_runner::on(rank_index from, const rank_snapshot& answer)
{
    auto& record = m_ranks[from];
    if (m_phase != phase::Collect || (record.snapshot && answer.session <= record.snapshot->session))
        return;
    record.snapshot = answer;
    record.nextStep = answer.nextStep;
    record.answered = true;
}

void round_runner::on(rank_index from, const rank_prepared& answer)
{
    if (m_phase != phase::Prepare)
        return;
    m_ranks[from].answered = true;
    m_ranks[from].nextStep = answer.nextStep;
}

void round_runner::on(rank_index from, const rank_held& answer)
{
    if (m_phase != phase::Hold || answer.nextStep < m_holdBeforeStep)
        return;
    m_ranks[from].answered = true;
    m_ranks[from].nextStep = answer.nextStep;
}

void round_runner::on(rank_index, const hold_passed& answer)
{
    if (m_phase == phase::Hold && answer.nextStep > m_holdBeforeStep)
        raiseHoldStep(answer.nextStep + m_settings.holdLeadSteps);
}

void round_runner::on(rank_index from, const rank_installed& answer)
{
    if (m_phase != phase::Install)
        return;
    if (answer.installed == m_version)
        m_ranks[from].answered = true;
    else
        finish(round_outcome::Failed, rankName(from) + " was read back with another map than the one installed");
}

void round_runner::on(rank_index from, const rank_resumed&)
{
    if (m_phase == phase::Resume)
        m_ranks[from].answered = true;
}

void round_runner::on(rank_index from, const rank_refused& answer)
{
    notePromised(answer.promised);
    // The agent is still reading the fencing number; it will answer when the order is sent again.
    if (m_phase == phase::Collect && answer.reason == order_refusal::FencingUnknown)
        return;
    finish(round_outcome::Failed, rankName(from) + " " + std::string(describe(answer.reason)));
}

bool round_runner::allAnswered() const
{
    return std::ranges::all_of(m_ranks, [](const auto& record) { return !record.involved || record.answered; });
}

void round_runner::nextPhase()
{
    switch (m_phase) {
    case phase::Collect:
        afterCollect();
        return;
    case phase::Prepare:
        if (!m_repairing && !requiresHold())
            finish(round_outcome::Changed, "loaded at every rank");
        else
            enterPhase(m_repairing ? phase::Install : phase::Hold);
        return;
    case phase::Hold:
        afterHold();
        return;
    case phase::Install:
        enterPhase(phase::Resume);
        return;
    case phase::Resume:
        if (m_repairing)
            finish(round_outcome::Repaired, "all ranks run one map again");
        else
            finish(round_outcome::Changed, "in force at every rank");
        return;
    }
}

void round_runner::afterCollect()
{
    if (allRunSameMap()) {
        m_version = m_round;
        if (m_change)
            enterPhase(phase::Prepare);
        else
            finish(round_outcome::Repaired, "all ranks run one map");
        return;
    }
    m_repairing = true;
    m_version = repairVersion();
    const auto mismatched = std::ranges::find_if(m_ranks,
        [this](const auto& record) { return !record.snapshot->held && record.snapshot->installed != m_version; });
    if (mismatched != m_ranks.end()) {
        finish(round_outcome::Failed, rankName(rank_index(mismatched - m_ranks.begin())) + " runs another map");
        return;
    }
    enterPhase(phase::Prepare);
    if (allAnswered())
        nextPhase();
}

void round_runner::afterHold()
{
    std::uint64_t latest = 0;
    bool same = true;
    for (const auto& record : m_ranks) {
        latest = std::max(latest, record.nextStep);
        same = same && record.nextStep == m_ranks.front().nextStep;
    }
    if (same)
        enterPhase(phase::Install);
    else
        raiseHoldStep(latest);
}

void round_runner::raiseHoldStep(std::uint64_t beforeStep)
{
    m_holdBeforeStep = std::max(m_holdBeforeStep, beforeStep);
    for (auto& record : m_ranks)
        record.answered = false;
    sendOrders();
}

void round_runner::enterPhase(phase next)
{
    m_phase = next;
    std::uint64_t latest = 0;
    for (auto& record : m_ranks) {
        record.answered = false;
        record.involved = !m_repairing || (record.snapshot->held && next == phase::Resume)
            || (record.snapshot->installed != m_version);
        latest = std::max(latest, record.nextStep);
    }
    if (next == phase::Hold)
        m_holdBeforeStep = latest + m_settings.holdLeadSteps;
    m_deadline = m_now + timeout();
    sendOrders();
    if (m_repairing && next != phase::Prepare && allAnswered())
        nextPhase();
}

duration round_runner::timeout() const
{
    switch (m_phase) {
    case phase::Collect:
        return m_settings.collectTimeout;
    case phase::Prepare:
        return m_settings.prepareTimeout;
    case phase::Hold:
    case phase::Install:
    case phase::Resume:
        break;
    }
    return m_settings.heldPhaseTimeout;
}

bool round_runner::allRunSameMap() const
{
    return std::ranges::all_of(m_ranks, [this](const auto& record) {
        return !record.snapshot->held && record.snapshot->installed == m_ranks.front().snapshot->installed;
    });
}

// The version that a repair installs: that of a running rank, or, if none runs, the one that most ranks ran last.
map_version round_runner::repairVersion() const
{
    std::map<map_version, std::uint32_t> lastRun;
    for (const auto& record : m_ranks) {
        if (!record.snapshot->held)
            return record.snapshot->installed;
        ++lastRun[record.snapshot->lastRun];
    }
    const auto most = std::ranges::max_element(lastRun, {}, [](const auto& entry) { return entry.second; });
    return most->first;
}

bool round_runner::requiresHold() const
{
    return !m_change || std::holds_alternative<new_expert_map>(*m_change)
        || std::holds_alternative<new_role>(*m_change);
}

void round_runner::finish(round_outcome outcome, std::string reason)
{
    m_outcome = outcome;
    m_reason = std::move(reason);
}

void round_runner::sendOrders()
{
    m_nextSendAt = m_now + m_settings.retryInterval;
    for (std::size_t rank = 0; rank < m_ranks.size(); ++rank) {
        const auto& record = m_ranks[rank];
        if (record.involved && !record.answered)
            m_effects->push_back(send_map_message { rank_index(rank), orderFor(record) });
    }
}

map_message round_runner::orderFor(const rank_record& record) const
{
    switch (m_phase) {
    case phase::Collect:
        break;
    case phase::Prepare:
        return prepare_rank { m_round, record.snapshot->session, m_version, m_change.value_or(new_expert_map {}) };
    case phase::Hold:
        return hold_rank { m_round, record.snapshot->session, m_holdBeforeStep };
    case phase::Install:
        return install_rank { m_round, record.snapshot->session, m_version };
    case phase::Resume:
        return resume_rank { m_round, record.snapshot->session, m_version };
    }
    return collect_rank { m_round };
}

} // namespace appleramp
