#include "decisions/groups/group_agent.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace appleramp {

namespace {

constexpr duration beatInterval = std::chrono::milliseconds(250);
// A coordinator that was silent for so long is replaced by the next rank.
constexpr duration leaderSilence = std::chrono::milliseconds(800);
// Ranks wait this much longer each, so that the lowest that lives takes over alone.
constexpr duration leaderSilencePerRank = std::chrono::milliseconds(30);
constexpr duration statusInterval = std::chrono::milliseconds(250);
// Up to this size every rank tells the coordinator what it chose; beyond it those of its zone do.
constexpr std::uint32_t allRanksReportUpTo = 24;
// A rank that is held for so long without an outcome concludes the switch itself.
constexpr duration blockedAfter = std::chrono::milliseconds(350);

// Part by which a pace must change to be told at once.
constexpr double paceChange = 0.25;

bool isNews(const rank_status& told, const rank_status& now)
{
    if (std::abs(told.pace - now.pace) > paceChange * told.pace)
        return true;
    return told.epoch != now.epoch || told.proposedVersion != now.proposedVersion || told.groupOpen != now.groupOpen || told.mapVersion != now.mapVersion
        || told.experts != now.experts || told.preparedVersion != now.preparedVersion
        || told.preparedDigest != now.preparedDigest || told.armedPass != now.armedPass || told.heldPass != now.heldPass
        || told.declinedPasses != now.declinedPasses;
}

} // namespace

group_agent::group_agent(coordinator_limits limits, std::string zone)
    : m_zone(std::move(zone))
    , m_coordinator(std::move(limits))
{
}

group_effects group_agent::handle(const group_event& event)
{
    std::visit([this](const auto& concrete) { on(concrete); }, event);
    if (std::exchange(m_selfTold, false))
        std::visit([this](const auto& concrete) { giveDueOrder(concrete.now); }, event);
    return std::exchange(m_effects, {});
}

bool group_agent::listsAreCurrent() const
{
    return m_listsKnown && m_lists.epoch == m_state->epoch && m_lists.mapVersion == m_state->mapVersion
        && m_lists.preparedVersion == m_state->preparedVersion;
}

void group_agent::on(const rank_read& event)
{
    m_state = event.state;
    m_orderGiven = false;
    if (!listsAreCurrent())
        m_effects.emplace_back(read_lists {});
    actOn(event.now);
}

void group_agent::on(const rank_lists_read& event)
{
    m_lists = event;
    m_listsKnown = true;
    if (m_state)
        tellStatus(event.now);
    if (m_state && m_lists.mapVersion == 0 && m_cells > 0 && !m_lists.experts.empty())
        m_switch.noteFirstMap(group_map::dealtInTurn(m_lists.experts.size(), m_cells / m_lists.experts.size(), m_state->ranks));
    notePlaceholder();
    runCoordinator(event.now);
}

void group_agent::notePlaceholder()
{
    const std::size_t sets = m_lists.experts.size();
    if (!m_state || sets == 0 || m_cells == 0 || m_lists.epoch != m_state->epoch)
        return;
    m_switch.notePlaceholder(
        std::make_shared<group_map>(placeholderMap(m_lists.experts, m_state->rank, m_cells / sets, m_state->ranks)));
}

void group_agent::on(const choices_read& event)
{
    if (!m_state)
        return;
    if (std::exchange(m_cells, event.totals.size()) != event.totals.size())
        notePlaceholder();
    auto chosen = m_choices.since(event.totals);
    if (chosen.empty())
        return;
    rank_choices message { m_state->rank, std::move(chosen) };
    const bool isFarFromLeader = m_state->ranks > allRanksReportUpTo && m_leaderZone != m_zone;
    if (isFarFromLeader && !m_leads)
        return;
    if (m_leads)
        m_coordinator.noteChoices(event.now, message);
    else
        m_effects.emplace_back(outgoing_message { m_leaderRank, std::move(message) });
}

void group_agent::on(const rank_order_refused& event) { m_switch.noteRefused(event.order); }

void group_agent::on(const group_message_heard& event)
{
    std::visit([&](const auto& message) { hear(event.now, message); }, event.message);
}

void group_agent::on(const foreign_rank_read& event)
{
    m_coordinator.noteForeign(event.now, event.state);
    runCoordinator(event.now);
}

void group_agent::on(const group_time_passed& event)
{
    if (!m_state)
        return;
    decideLeader(event.now);
    takeOverIfBlocked(event.now);
    if (event.now - m_statusAt >= statusInterval)
        tellStatus(event.now);
    runCoordinator(event.now);
}

void group_agent::hear(instant now, const coordinator_beat& message)
{
    if (!m_state || message.rank > m_state->rank)
        return;
    const bool isNewLeader = message.rank != m_leaderRank || now - m_leaderHeardAt >= leaderSilence;
    m_leaderRank = message.rank;
    m_leaderZone = message.zone;
    m_leaderHeardAt = now;
    if (isNewLeader)
        m_statusDue = true;
}

void group_agent::hear(instant now, const rank_status& message)
{
    m_coordinator.noteStatus(now, message);
    runCoordinator(now);
}

void group_agent::hear(instant now, const rank_choices& message) { m_coordinator.noteChoices(now, message); }

void group_agent::hear(instant now, const map_proposal& message)
{
    m_switch.propose(message);
    actOn(now);
}

void group_agent::hear(instant now, const map_changes& message)
{
    proposeChanges(message);
    actOn(now);
}

void group_agent::proposeChanges(const map_changes& changes)
{
    const std::size_t sets = m_lists.experts.size();
    if (m_state && sets > 0)
        m_switch.propose(changes, m_cells / sets, sets, m_state->ranks);
}

void group_agent::hear(instant now, const switch_request& message)
{
    m_switch.request(message);
    m_statusDue = true;
    actOn(now);
}

void group_agent::hear(instant now, const switch_outcome& message)
{
    m_switch.conclude(message);
    m_coordinator.noteOutcome(now, message);
    m_statusDue = true;
    actOn(now);
}

void group_agent::hear(instant now, const status_query& message)
{
    if (!m_state || message.name.epoch != m_state->epoch)
        return;
    if (const auto outcome = m_switch.outcomeOf(message.name.pass))
        m_effects.emplace_back(outgoing_message { std::nullopt, *outcome });
    m_switch.answerQuery(message.name, *m_state);
    giveDueOrder(now);
    tellStatus(now, message.rank);
}

void group_agent::hear(instant now, const status_wanted& message)
{
    if (m_state)
        tellStatus(now, message.rank);
}

void group_agent::actOn(instant now)
{
    if (!m_state)
        return;
    giveDueOrder(now);
    tellStatus(now);
    runCoordinator(now);
}

void group_agent::giveDueOrder(instant now)
{
    // What the order under way has done shows only in the next reading.
    if (m_orderGiven || !m_state)
        return;
    if (auto order = m_switch.advance(now, *m_state)) {
        m_orderGiven = true;
        m_effects.emplace_back(give_order { std::move(*order) });
    }
}

rank_status group_agent::status() const
{
    rank_status told { .rank = m_state->rank,
        .ranks = m_state->ranks,
        .epoch = m_state->epoch,
        .groupOpen = m_state->groupOpen,
        .pass = m_state->pass,
        .mapVersion = m_state->mapVersion,
        .proposedVersion = m_switch.proposedVersion(),
        .armedVersion = m_state->armedVersion,
        .armedPass = m_state->armedPass,
        .heldPass = m_state->heldPass,
        .declinedPasses = m_switch.declinedPasses(),
        .pace = m_state->pace };
    // Only what was listed for this very state may be told of it.
    if (listsAreCurrent()) {
        told.experts = m_lists.experts;
        told.preparedVersion = m_lists.preparedVersion;
        told.preparedDigest = m_lists.preparedVersion ? digestOfRank(m_lists.preparedExperts) : 0;
    }
    return told;
}

void group_agent::tellStatus(instant now, std::optional<std::uint32_t> asker)
{
    rank_status told = status();
    const bool due = std::exchange(m_statusDue, false) || asker || now - m_statusAt >= statusInterval || isNews(m_statusTold, told);
    if (!due)
        return;
    m_statusAt = now;
    m_statusTold = told;
    m_coordinator.noteStatus(now, told);
    const std::uint32_t target = asker.value_or(m_leaderRank);
    if (target != m_state->rank)
        m_effects.emplace_back(outgoing_message { target, std::move(told) });
}

void group_agent::decideLeader(instant now)
{
    if (m_startedAt == instant {})
        m_startedAt = now;
    const duration patience = leaderSilence + leaderSilencePerRank * static_cast<duration::rep>(m_state->rank);
    const instant lastHeard = std::max(m_leaderHeardAt, m_startedAt);
    const bool othersLead = m_leaderRank < m_state->rank && now - m_leaderHeardAt < patience;
    const bool leads = !othersLead && (m_state->rank == 0 || now - lastHeard >= patience);
    if (leads != m_leads)
        m_effects.emplace_back(group_note { leads ? "leads_group" : "follows_group", "rank " + std::to_string(m_state->rank) });
    m_leads = leads;
    if (!m_leads || now - m_beatAt < beatInterval)
        return;
    m_leaderRank = m_state->rank;
    m_beatAt = now;
    m_effects.emplace_back(outgoing_message { std::nullopt, coordinator_beat { m_state->rank, m_state->epoch, m_zone } });
}

void group_agent::takeOverIfBlocked(instant now)
{
    const auto waiting = m_switch.waiting();
    // The others tell the leader how they stand; if it is silent, one of them leads soon.
    const bool isBlocked = m_leads && waiting && m_switch.heldSince() && now - *m_switch.heldSince() >= blockedAfter;
    if (isBlocked)
        m_coordinator.adopt(now, *waiting, m_state->ranks, m_switch.proposedMap());
}

void group_agent::runCoordinator(instant now)
{
    if (!m_state)
        return;
    for (outgoing_message& message : m_coordinator.advance(now, m_leads, m_state->rank)) {
        // What is for all, or for this rank, is also for the agent that says it.
        const bool forSelf = m_state && (!message.rank || *message.rank == m_state->rank);
        if (forSelf) {
            if (const auto* const proposal = std::get_if<map_proposal>(&message.message))
                m_switch.propose(*proposal);
            else if (const auto* const changes = std::get_if<map_changes>(&message.message))
                proposeChanges(*changes);
            else if (const auto* const request = std::get_if<switch_request>(&message.message))
                m_switch.request(*request);
            else if (const auto* const outcome = std::get_if<switch_outcome>(&message.message))
                m_switch.conclude(*outcome);
            else if (std::holds_alternative<status_wanted>(message.message))
                m_statusDue = true;
            else if (const auto* const query = std::get_if<status_query>(&message.message))
                m_switch.answerQuery(query->name, *m_state);
            m_selfTold = true;
        }
        if (!message.rank || !m_state || *message.rank != m_state->rank)
            m_effects.emplace_back(std::move(message));
    }
    for (foreign_step& step : m_coordinator.takeForeignSteps())
        std::visit([this](auto& concrete) { m_effects.emplace_back(std::move(concrete)); }, step);
    for (coordinator_note& note : m_coordinator.takeNotes())
        m_effects.emplace_back(group_note { std::move(note.what), std::move(note.detail) });
}

} // namespace appleramp
