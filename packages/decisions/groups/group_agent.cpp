#include "decisions/groups/group_agent.h"

#include "decisions/groups/choice_reporting.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace appleramp {

namespace {

constexpr duration heartbeatInterval = std::chrono::milliseconds(250);
// A leader that sent no heartbeat for this long is replaced by the next rank.
constexpr duration leaderTimeout = std::chrono::milliseconds(800);
// Added to the timeout once for each rank number, so that the lowest live rank takes over before any other tries.
constexpr duration leaderTimeoutPerRank = std::chrono::milliseconds(30);
constexpr duration statusInterval = std::chrono::milliseconds(250);
// A leader whose own rank is held for this long without an outcome takes the switch over.
constexpr duration blockedSwitchTimeout = std::chrono::milliseconds(350);

// Relative change of the slowdown factor that is reported at once.
constexpr double minSlowdownChange = 0.25;

bool hasSignificantChange(const rank_status& reported, const rank_status& current)
{
    if (std::abs(reported.slowdownFactor - current.slowdownFactor) > minSlowdownChange * reported.slowdownFactor)
        return true;
    return reported.epoch != current.epoch || reported.proposedVersion != current.proposedVersion || reported.groupOpen != current.groupOpen || reported.mapVersion != current.mapVersion
        || reported.experts != current.experts || reported.preparedVersion != current.preparedVersion
        || reported.preparedDigest != current.preparedDigest || reported.armedPass != current.armedPass || reported.heldPass != current.heldPass
        || reported.declinedPasses != current.declinedPasses || reported.unsettledArmPass != current.unsettledArmPass
        || reported.singleHoldFromPass != current.singleHoldFromPass;
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
    if (std::exchange(m_hasSelfMessage, false))
        std::visit([this](const auto& concrete) { issueDueOrder(concrete.now); }, event);
    return std::exchange(m_effects, {});
}

bool group_agent::expertListsAreCurrent() const
{
    return m_hasExpertLists && m_expertLists.epoch == m_state->epoch && m_expertLists.mapVersion == m_state->mapVersion
        && m_expertLists.preparedVersion == m_state->preparedVersion;
}

void group_agent::on(const rank_state_read& event)
{
    keepPreviousMap(event.state);
    m_state = event.state;
    m_isOrderPending = false;
    m_switch.observe(event.state);
    if (!expertListsAreCurrent())
        m_effects.emplace_back(read_expert_lists {});
    advance(event.now);
}

// Every agent keeps the map, as any may lead in the new epoch.
void group_agent::keepPreviousMap(const rank_state& next)
{
    const bool isNewEpoch = m_state && m_state->epoch < next.epoch;
    if (!isNewEpoch || m_state->mapVersion == 0)
        return;
    if (auto map = m_switch.knownMap(m_state->mapVersion))
        m_coordinator.setPreviousMap(std::move(map));
}

void group_agent::on(const expert_lists_read& event)
{
    m_expertLists = event;
    m_hasExpertLists = true;
    if (m_state)
        reportStatus(event.now);
    if (m_state && m_expertLists.mapVersion == 0 && m_choiceCountsSize > 0 && !m_expertLists.experts.empty())
        m_switch.setInitialMap(group_map::roundRobin(m_expertLists.experts.size(), m_choiceCountsSize / m_expertLists.experts.size(), m_state->ranks));
    updatePlaceholderMap();
    runCoordinator(event.now);
}

void group_agent::updatePlaceholderMap()
{
    const std::size_t sets = m_expertLists.experts.size();
    if (!m_state || sets == 0 || m_choiceCountsSize == 0 || m_expertLists.epoch != m_state->epoch)
        return;
    m_switch.setPlaceholderMap(
        std::make_shared<group_map>(placeholderMap(m_expertLists.experts, m_state->rank, m_choiceCountsSize / sets, m_state->ranks)));
}

void group_agent::on(const choice_totals_read& event)
{
    if (!m_state)
        return;
    if (std::exchange(m_choiceCountsSize, event.totals.size()) != event.totals.size())
        updatePlaceholderMap();
    auto chosen = m_choices.takeIncrease(event.totals);
    if (chosen.empty())
        return;
    expert_choice_counts message { m_state->rank, std::move(chosen) };
    if (!reportsChoices())
        return;
    if (m_leads)
        m_coordinator.recordChoices(event.now, message);
    else
        m_effects.emplace_back(outgoing_message { m_leaderRank, std::move(message) });
}

bool group_agent::reportsChoices() const
{
    return m_leads || (m_state && appleramp::reportsChoices(m_state->rank, m_state->ranks, m_leaderZone == m_zone));
}

void group_agent::on(const rank_order_refused& event) { m_switch.recordRefusal(event.order); }

void group_agent::on(const group_message_received& event)
{
    std::visit([&](const auto& message) { onMessage(event.now, message); }, event.message);
}

void group_agent::on(const silent_rank_read& event)
{
    m_coordinator.recordSilentRankState(event.now, event.state);
    m_holdKeeper.recordSilentRankState(event.state);
    runHoldKeeper(event.now);
    runCoordinator(event.now);
}

void group_agent::on(const group_tick& event)
{
    if (!m_state)
        return;
    updateLeadership(event.now);
    adoptBlockedSwitch(event.now);
    if (event.now - m_statusReportedAt >= statusInterval)
        reportStatus(event.now);
    runCoordinator(event.now);
}

void group_agent::onMessage(instant now, const coordinator_heartbeat& message)
{
    if (!m_state || message.rank > m_state->rank)
        return;
    const bool isNewLeader = message.rank != m_leaderRank || now - m_leaderHeardAt >= leaderTimeout;
    m_leaderRank = message.rank;
    m_leaderZone = message.zone;
    m_leaderHeardAt = now;
    if (isNewLeader)
        m_statusDue = true;
}

void group_agent::onMessage(instant now, const rank_status& message)
{
    m_coordinator.recordStatus(now, message);
    m_holdKeeper.recordStatus(now, message);
    runHoldKeeper(now);
    runCoordinator(now);
}

void group_agent::onMessage(instant now, const expert_choice_counts& message) { m_coordinator.recordChoices(now, message); }

void group_agent::onMessage(instant now, const map_proposal& message)
{
    m_switch.propose(message);
    advance(now);
}

void group_agent::onMessage(instant now, const map_changes& message)
{
    applyProposedChanges(message);
    advance(now);
}

void group_agent::applyProposedChanges(const map_changes& changes)
{
    const std::size_t sets = m_expertLists.experts.size();
    if (m_state && sets > 0)
        m_switch.propose(changes, m_choiceCountsSize / sets, sets, m_state->ranks);
}

void group_agent::onMessage(instant now, const switch_request& message)
{
    m_switch.request(message);
    noteHolder(message);
    m_statusDue = true;
    advance(now);
}

void group_agent::onMessage(instant now, const switch_outcome& message)
{
    m_switch.recordOutcome(message);
    m_coordinator.recordOutcome(now, message);
    m_holdKeeper.recordOutcome(message);
    m_statusDue = true;
    advance(now);
}

void group_agent::onMessage(instant now, const status_query& message)
{
    if (!m_state || message.name.epoch != m_state->epoch)
        return;
    if (const auto outcome = m_switch.outcomeOf(message.name.pass))
        m_effects.emplace_back(outgoing_message { std::nullopt, *outcome });
    m_switch.handleQuery(message.name, *m_state);
    issueDueOrder(now);
    reportStatus(now, message.rank);
}

void group_agent::onMessage(instant now, const status_request& message)
{
    if (m_state)
        reportStatus(now, message.rank);
}

void group_agent::advance(instant now)
{
    if (!m_state)
        return;
    runHoldKeeper(now);
    issueDueOrder(now);
    reportStatus(now);
    runCoordinator(now);
}

void group_agent::issueDueOrder(instant now)
{
    // The effect of the pending order shows only in the next reading.
    if (m_isOrderPending || !m_state)
        return;
    if (auto order = m_switch.advance(now, *m_state)) {
        m_isOrderPending = true;
        m_effects.emplace_back(send_order { std::move(*order) });
    }
}

rank_status group_agent::status() const
{
    rank_status reported { .rank = m_state->rank,
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
        .slowdownFactor = m_state->slowdownFactor,
        .singleHoldFromPass = m_switch.singleHoldFromPass(),
        .unsettledArmPass = m_usesSingleHold ? m_switch.unsettledArmPass() : std::nullopt };
    // Lists that were read for another state would describe other maps than the versions reported here.
    if (expertListsAreCurrent()) {
        reported.experts = m_expertLists.experts;
        reported.preparedVersion = m_expertLists.preparedVersion;
        reported.preparedDigest = m_expertLists.preparedVersion ? expertsDigest(m_expertLists.preparedExperts) : 0;
    }
    return reported;
}

void group_agent::reportStatus(instant now, std::optional<std::uint32_t> requester)
{
    rank_status reported = status();
    const bool isDue = std::exchange(m_statusDue, false) || requester || now - m_statusReportedAt >= statusInterval || hasSignificantChange(m_lastReportedStatus, reported);
    if (!isDue)
        return;
    m_statusReportedAt = now;
    m_lastReportedStatus = reported;
    m_coordinator.recordStatus(now, reported);
    if (!requester)
        reportToHolder(reported);
    const std::uint32_t target = requester.value_or(m_leaderRank);
    if (target != m_state->rank)
        m_effects.emplace_back(outgoing_message { target, std::move(reported) });
}

void group_agent::updateLeadership(instant now)
{
    if (m_startedAt == instant {})
        m_startedAt = now;
    const duration timeout = leaderTimeout + leaderTimeoutPerRank * static_cast<duration::rep>(m_state->rank);
    const instant lastHeard = std::max(m_leaderHeardAt, m_startedAt);
    const bool followsLowerRank = m_leaderRank < m_state->rank && now - m_leaderHeardAt < timeout;
    const bool leads = !followsLowerRank && (m_state->rank == 0 || now - lastHeard >= timeout);
    if (leads != m_leads)
        m_effects.emplace_back(group_log_event { leads ? "leads_group" : "follows_group", "rank " + std::to_string(m_state->rank) });
    m_leads = leads;
    if (!m_leads || now - m_heartbeatSentAt < heartbeatInterval)
        return;
    m_leaderRank = m_state->rank;
    m_heartbeatSentAt = now;
    m_effects.emplace_back(outgoing_message { std::nullopt, coordinator_heartbeat { m_state->rank, m_state->epoch, m_zone } });
}

void group_agent::adoptBlockedSwitch(instant now)
{
    const auto pending = m_switch.pendingSwitch();
    // Only the leader takes over. The other ranks report to it, and one of them becomes the leader if it is silent.
    const bool isBlocked = m_leads && pending && m_switch.heldSince() && now - *m_switch.heldSince() >= blockedSwitchTimeout;
    if (isBlocked)
        m_coordinator.adopt(now, *pending, m_state->ranks, m_switch.proposedMap());
}

void group_agent::runCoordinator(instant now)
{
    if (!m_state)
        return;
    for (outgoing_message& message : m_coordinator.advance(now, m_leads, m_state->rank))
        sendAndApply(now, std::move(message));
    for (silent_rank_action& action : m_coordinator.takeSilentRankActions())
        std::visit([this](auto& concrete) { m_effects.emplace_back(std::move(concrete)); }, action);
    for (coordinator_log_event& event : m_coordinator.takeLogEvents())
        m_effects.emplace_back(group_log_event { std::move(event.what), std::move(event.detail) });
}

} // namespace appleramp
