#include "decisions/maps/map_coordinator.h"

#include <algorithm>
#include <utility>

namespace appleramp {

namespace {

// Separates the coordinator's calls from those of the guard in the same process.
constexpr operation_number firstOperation = 1'000'000'000;

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
    , m_nextOperation(firstOperation)
{
}

maps_effects map_coordinator::handle(const maps_event& event)
{
    m_now = event.at;
    std::visit([this](const auto& body) { on(body); }, event.body);
    concludeRound();
    lead();
    return std::exchange(m_effects, {});
}

void map_coordinator::on(const map_message_received& event)
{
    if (const auto* wanted = std::get_if<ending_wanted>(&event.message)) {
        startEnding(wanted->promised);
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
    if (leads(m_now))
        m_wanted = event.content;
}

// A new holder looks at all ranks first: its predecessor may have left some held.
void map_coordinator::lead()
{
    const auto fencing = m_lease.held(m_now);
    if (!fencing || deposed(*fencing))
        return;
    if (*fencing != m_fencing) {
        m_fencing = *fencing;
        m_number = 0;
        m_repairDue = true;
        m_nextRound = m_now;
        journal(decision_kind::Lease, "leads the group under fencing number " + std::to_string(m_fencing));
    }
    if (m_runner.outcome() == round_outcome::Running || m_now < m_nextRound)
        return;
    if (m_repairDue)
        startRound(std::nullopt);
    else if (m_wanted)
        startRound(m_wanted);
}

// A rank has answered to a later holder, whatever this one's lease says.
bool map_coordinator::deposed(fencing_number fencing) const
{
    return m_runner.highestPromised().fencing > fencing;
}

void map_coordinator::startRound(std::optional<round_content> content)
{
    const auto& promised = m_runner.highestPromised();
    if (promised.fencing == m_fencing)
        m_number = std::max(m_number, promised.number);
    m_concluded = false;
    m_runner.start(m_now, { m_fencing, ++m_number }, std::move(content), m_effects);
}

// Only the agent of rank 0 ends rounds, so that endings of the same round have one owner each.
void map_coordinator::startEnding(const map_round& promised)
{
    m_runner.notePromised(promised);
    if (m_rank != 0 || m_runner.outcome() == round_outcome::Running)
        return;
    if (m_lease.held(m_now) && !deposed(*m_lease.held(m_now))) {
        m_repairDue = true;
        return;
    }
    auto round = m_runner.highestPromised();
    round.ending = round.endingAgent == m_agent ? round.ending + 1 : 1;
    round.endingAgent = m_agent;
    m_concluded = false;
    m_runner.start(m_now, round, std::nullopt, m_effects);
}

void map_coordinator::concludeRound()
{
    const auto outcome = m_runner.outcome();
    if (m_concluded || outcome == round_outcome::Running)
        return;
    m_concluded = true;
    journal(decision_kind::ExpertMap, describe(m_runner.round()) + ": " + m_runner.reason());
    m_nextRound = m_now + (outcome == round_outcome::Failed ? m_settings.pause : duration::zero());
    if (outcome == round_outcome::Changed)
        m_wanted.reset();
    m_repairDue = outcome == round_outcome::Failed;
}

void map_coordinator::journal(decision_kind kind, std::string reason)
{
    m_effects.push_back(record_decision { { m_now, kind, m_group.str(), std::move(reason) } });
}

} // namespace appleramp
