#include "decisions/groups/switch_coordinator.h"

#include "decisions/groups/map_switch.h"

#include <algorithm>

// The part of the coordinator in a switch with a single hold. The rest of it is the task of the holder's agent; see hold_keeper.

namespace appleramp {

// No two coordinators choose the same pass, and none chooses one twice, so that a late order of one switch never fits another.
pass_number switch_coordinator::chooseSingleHoldPass(pass_number earliest) const
{
    const pass_number first = m_singleHoldEpoch == m_proposal.epoch ? std::max(earliest, m_singleHoldPass + 1) : earliest;
    return first + (m_ownRank + coordinatorCandidates - first % coordinatorCandidates) % coordinatorCandidates;
}

std::optional<std::uint32_t> switch_coordinator::chooseHolder()
{
    const bool isKnown = std::all_of(m_statuses.begin(), m_statuses.end(), [](const auto& entry) {
        const rank_status& status = entry.second.status;
        return status.singleHoldFromPass && status.pass >= *status.singleHoldFromPass;
    });
    const pass_number pass = chooseSingleHoldPass(m_switch.pass);
    if (!m_usesSingleHold || !isKnown || m_ownRank >= coordinatorCandidates || pass > m_latestPass + singleHoldHorizon)
        return std::nullopt;
    // By turns, so that one engine in trouble does not spoil every switch.
    const auto candidates = std::min<std::uint32_t>(static_cast<std::uint32_t>(m_statuses.size()), coordinatorCandidates);
    for (std::uint32_t step = 1; step <= candidates; ++step) {
        const std::uint32_t rank = (m_lastHolder + step) % candidates;
        if (rank == m_ownRank)
            continue;
        m_lastHolder = rank;
        m_switch.pass = m_singleHoldPass = pass;
        m_singleHoldEpoch = m_switch.epoch;
        return rank;
    }
    return std::nullopt;
}

void switch_coordinator::orderSingleHold()
{
    if (!m_holder)
        return;
    const auto holder = m_statuses.find(*m_holder);
    if (holder == m_statuses.end() || holder->second.status.heldPass || hasDeclined(holder->second.status))
        return;
    rank_order hold { .kind = rank_order_kind::Hold, .epoch = m_switch.epoch, .pass = m_switch.pass };
    m_silentRankActions.emplace_back(send_silent_rank_order { *m_holder, std::move(hold) });
}

bool switch_coordinator::mayReleaseAborted() const
{
    return !m_usesSingleHold || std::all_of(m_statuses.begin(), m_statuses.end(), [this](const auto& entry) {
        return canNeverBeArmed(entry.second.status, m_switch.pass);
    });
}

} // namespace appleramp
