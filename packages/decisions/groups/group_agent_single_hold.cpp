#include "decisions/groups/group_agent.h"

#include <utility>

// The part of the agent in switches with a single hold.

namespace appleramp {

void group_agent::setSingleHold(bool uses)
{
    m_usesSingleHold = uses;
    m_switch.setSingleHold(uses);
    m_coordinator.setSingleHold(uses);
}

void group_agent::noteHolder(const switch_request& request)
{
    if (!m_usesSingleHold || !m_state || request.holder != m_state->rank)
        return;
    m_holdKeeper.recordRequest(request);
    m_effects.emplace_back(read_rank_state {});
}

void group_agent::onMessage(instant now, const arm_readiness_request& message)
{
    if (!m_state || !m_usesSingleHold)
        return;
    const arm_readiness answer { message.name, m_state->rank, m_switch.isReady(message, *m_state) };
    if (message.holder == m_state->rank)
        m_holdKeeper.recordReadiness(answer);
    else
        m_effects.emplace_back(outgoing_message { message.holder, answer });
    advance(now);
}

void group_agent::onMessage(instant now, const arm_readiness& message)
{
    m_holdKeeper.recordReadiness(message);
    advance(now);
}

void group_agent::onMessage(instant now, const arm_permission& message)
{
    m_switch.permit(message);
    advance(now);
}

void group_agent::runHoldKeeper(instant now)
{
    if (!m_state || !m_usesSingleHold)
        return;
    m_holdKeeper.recordReading(now, *m_state, m_switch);
    m_holdKeeper.recordStatus(now, status());
    for (outgoing_message& message : m_holdKeeper.advance(now, *m_state, m_switch))
        sendAndApply(now, std::move(message));
    m_switch.allowRelease(m_holdKeeper.releasablePass());
    for (const std::uint32_t rank : m_holdKeeper.takeSilentRanks())
        m_effects.emplace_back(read_silent_rank { rank });
    for (coordinator_log_event& event : m_holdKeeper.takeLogEvents())
        m_effects.emplace_back(group_log_event { std::move(event.what), std::move(event.detail) });
}

void group_agent::addTo(state_fingerprint& print) const
{
    m_switch.addTo(print);
    m_holdKeeper.addTo(print);
    print.add(static_cast<std::uint64_t>(m_isOrderPending));
    if (!m_state)
        return;
    print.add(m_state->epoch);
    print.add(m_state->pass);
    for (const auto& number : { m_state->preparedVersion, m_state->armedVersion, m_state->armedPass, m_state->heldPass })
        print.add(number);
}

void group_agent::reportToHolder(const rank_status& reported)
{
    const auto holder = m_switch.holder();
    if (!holder || !reported.armedPass || *holder == m_state->rank || *holder == m_leaderRank)
        return;
    rank_status brief = reported;
    brief.experts.clear();
    m_effects.emplace_back(outgoing_message { *holder, std::move(brief) });
}

// A broadcast, or a message to this rank, does not come back over the network, so it is applied here.
void group_agent::sendAndApply(instant now, outgoing_message message)
{
    const bool isForThisRank = !message.rank || *message.rank == m_state->rank;
    if (isForThisRank) {
        if (const auto* const proposal = std::get_if<map_proposal>(&message.message))
            m_switch.propose(*proposal);
        else if (const auto* const changes = std::get_if<map_changes>(&message.message))
            applyProposedChanges(*changes);
        else if (const auto* const request = std::get_if<switch_request>(&message.message))
            m_switch.request(*request);
        else if (const auto* const outcome = std::get_if<switch_outcome>(&message.message)) {
            m_switch.recordOutcome(*outcome);
            m_holdKeeper.recordOutcome(*outcome);
            m_coordinator.recordOutcome(now, *outcome);
        } else if (std::holds_alternative<status_request>(message.message))
            m_statusDue = true;
        else if (const auto* const query = std::get_if<status_query>(&message.message))
            m_switch.handleQuery(query->name, *m_state);
        else if (const auto* const question = std::get_if<arm_readiness_request>(&message.message))
            m_holdKeeper.recordReadiness({ question->name, m_state->rank, m_switch.isReady(*question, *m_state) });
        else if (const auto* const permission = std::get_if<arm_permission>(&message.message))
            m_switch.permit(*permission);
        m_hasSelfMessage = true;
    }
    if (!message.rank || *message.rank != m_state->rank)
        m_effects.emplace_back(std::move(message));
}

} // namespace appleramp
