#include "decisions/groups/switch_coordinator.h"

#include <algorithm>
#include <utility>

// What the coordinator does for ranks whose agents are silent.

namespace appleramp {

namespace {

// For the ranks to tell a new leader how they stand.
constexpr duration settlingTime = std::chrono::milliseconds(200);
// Between two readings of one engine, which are priced.
constexpr duration foreignReadInterval = std::chrono::milliseconds(120);

} // namespace

std::vector<foreign_step> switch_coordinator::takeForeignSteps() { return std::exchange(m_foreignSteps, {}); }

// Only the leader does, or all that wait would ask all engines.
void switch_coordinator::lookAfterSilentRanks(instant now, bool leads)
{
    if (!leads || now - m_enteredAt < (m_adopted ? settlingTime : silentRankAfter))
        return;
    for (auto& [rank, known] : m_ranks) {
        const bool isSettled = m_phase == phase::Concluding && hasLetGo(known.status);
        if (isSettled || now - known.heardAt < silentRankAfter || now - known.readAt < foreignReadInterval)
            continue;
        known.readAt = now;
        m_foreignSteps.emplace_back(read_foreign_rank { rank });
    }
}

void switch_coordinator::noteForeign(instant now, const rank_state& state)
{
    const auto found = m_ranks.find(state.rank);
    const bool isSilent = found != m_ranks.end() && now - found->second.heardAt >= silentRankAfter;
    if (!isSilent || state.epoch != m_switch.epoch || (m_phase != phase::Switching && m_phase != phase::Concluding))
        return;
    rank_status& status = found->second.status;
    if (state.preparedVersion != status.preparedVersion)
        status.preparedDigest = 0;
    status.pass = std::max(status.pass, state.pass);
    status.preparedVersion = state.preparedVersion;
    status.armedVersion = state.armedVersion;
    status.armedPass = state.armedPass;
    status.heldPass = state.heldPass;
    // Not armed, and what it would arm is not prepared any more: it never will be.
    const bool canNotArm = state.armedPass != m_switch.pass && state.preparedVersion != m_switch.version && state.pass < m_switch.pass;
    if (canNotArm && !hasDeclined(status))
        status.declinedPasses.push_back(m_switch.pass);
    if (auto order = foreignOrder(state)) {
        note("foreign_order", std::string(nameOf(order->kind)) + " to rank " + std::to_string(state.rank));
        m_foreignSteps.emplace_back(give_foreign_order { state.rank, std::move(*order) });
    }
}

// A map of a higher number takes the place of the prepared one, so that an arm order that the silent agent has sent, or
// sends when it wakes, fits no more. The map in force needs no copies.
rank_order switch_coordinator::preventArming(const rank_state& state)
{
    m_highestUsed = numberAfter(std::max(highestVersion(), m_switch.version), *m_base);
    return { .kind = rank_order_kind::Prepare,
        .epoch = state.epoch,
        .expectedOrderCount = state.orderCount,
        .version = m_highestUsed,
        .map = m_base };
}

std::optional<rank_order> switch_coordinator::foreignOrder(const rank_state& state)
{
    rank_order order { .epoch = state.epoch, .expectedOrderCount = state.orderCount };
    const bool isArmed = state.armedPass == m_switch.pass;
    const bool isOpen = m_phase == phase::Switching;
    if (!isArmed && state.preparedVersion == m_switch.version && (isOpen || !m_committed) && state.pass < m_switch.pass)
        return m_base ? std::optional(preventArming(state)) : std::nullopt;
    if (isOpen || state.heldPass != m_switch.pass)
        return std::nullopt;
    if (isArmed && !m_committed) {
        order.kind = rank_order_kind::Disarm;
        order.version = m_switch.version;
        return order;
    }
    order.kind = rank_order_kind::Go;
    order.pass = m_switch.pass;
    return order;
}

} // namespace appleramp
