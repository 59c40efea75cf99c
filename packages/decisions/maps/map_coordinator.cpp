#include "decisions/maps/map_coordinator.h"

#include <algorithm>
#include <utility>

namespace appleramp {

namespace {

// First platform operation of the coordinator. Lower numbers belong to the rank_guard in the same process.
constexpr operation_number firstCoordinatorOperation = 1'000'000'000;

std::string describe(const map_round& round)
{
    auto text = "round " + std::to_string(round.fencing) + "." + std::to_string(round.number);
    if (round.endingAgent)
        text += " ending without its holder";
    return text;
}

} // namespace

map_coordinator::map_coordinator(const group_id& group, rank_index rank, std::uint32_t ranks, incarnation agent,
    coordinator_settings settings)
    : m_group(group)
    , m_rank(rank)
    , m_agent(agent)
    , m_settings(settings)
    , m_lease(group, std::to_string(rank) + "/" + std::to_string(agent), settings.lease)
    , m_runner(ranks, settings.round)
    , m_nextOperation(firstCoordinatorOperation)
{
}

maps_effects map_coordinator::handle(const maps_event& event)
{
    m_now = event.at;
    std::visit([this](const auto& body) { on(body); }, event.body);
    recordOutcome();
    startDueRound();
    return std::exchange(m_effects, {});
}

void map_coordinator::on(const map_message_received& event)
{
    if (const auto* wanted = std::get_if<ending_wanted>(&event.message)) {
        startEndingRound(wanted->promised);
        return;
    }
    m_runner.onMessage(m_now, event.from, event.message, m_effects);
}

void map_coordinator::on(const platform_replied& event)
{
    m_lease.onReply(m_now, event);
}

void map_coordinator::on(const time_passed&)
{
    m_lease.onTime(m_now, m_nextOperation, m_effects);
    m_runner.onTime(m_now, m_effects);
}

void map_coordinator::on(const engine_answered&) { }

void map_coordinator::on(const engine_changed&) { }

void map_coordinator::on(const change_wanted& event)
{
    if (isLeader(m_now))
        m_requestedChange = event.change;
}

// Starts the next round if this agent leads the group and a round is due. A new leader repairs first, because its
// predecessor may have left ranks held.
void map_coordinator::startDueRound()
{
    const auto fencing = m_lease.heldFencing(m_now);
    if (!fencing || isSuperseded(*fencing))
        return;
    if (*fencing != m_leaseFencing) {
        m_leaseFencing = *fencing;
        m_roundNumber = 0;
        m_repairNeeded = true;
        m_nextRoundAt = m_now;
        journal(decision_kind::Lease, "leads the group under fencing number " + std::to_string(m_leaseFencing));
    }
    if (m_runner.outcome() == round_outcome::Running || m_now < m_nextRoundAt)
        return;
    if (m_repairNeeded)
        startRound(std::nullopt);
    else if (m_requestedChange)
        startRound(m_requestedChange);
}

// True if a rank has answered a leader with a higher fencing number, even if the lease still looks valid here.
bool map_coordinator::isSuperseded(fencing_number fencing) const
{
    return m_runner.highestPromised().fencing > fencing;
}

void map_coordinator::startRound(std::optional<group_change> change)
{
    const auto& promised = m_runner.highestPromised();
    if (promised.fencing == m_leaseFencing)
        m_roundNumber = std::max(m_roundNumber, promised.number);
    m_outcomeRecorded = false;
    m_runner.start(m_now, { m_leaseFencing, ++m_roundNumber }, std::move(change), m_effects);
}

// Starts a round that ends an abandoned one. Only the agent of rank 0 does so, which makes it the only source of
// ending attempts; they are told apart by its incarnation and a counter.
void map_coordinator::startEndingRound(const map_round& promised)
{
    m_runner.notePromised(promised);
    if (m_rank != 0 || m_runner.outcome() == round_outcome::Running)
        return;
    if (m_lease.heldFencing(m_now) && !isSuperseded(*m_lease.heldFencing(m_now))) {
        m_repairNeeded = true;
        return;
    }
    auto round = m_runner.highestPromised();
    round.endingAttempt = round.endingAgent == m_agent ? round.endingAttempt + 1 : 1;
    round.endingAgent = m_agent;
    m_outcomeRecorded = false;
    m_runner.start(m_now, round, std::nullopt, m_effects);
}

void map_coordinator::recordOutcome()
{
    const auto outcome = m_runner.outcome();
    if (m_outcomeRecorded || outcome == round_outcome::Running)
        return;
    m_outcomeRecorded = true;
    journal(decision_kind::ExpertMap, describe(m_runner.round()) + ": " + m_runner.reason());
    m_nextRoundAt = m_now + (outcome == round_outcome::Failed ? m_settings.retryDelay : duration::zero());
    if (outcome == round_outcome::Changed)
        m_requestedChange.reset();
    m_repairNeeded = outcome == round_outcome::Failed;
}

void map_coordinator::journal(decision_kind kind, std::string reason)
{
    m_effects.push_back(record_decision { { m_now, kind, m_group.str(), std::move(reason) } });
}

} // namespace appleramp
