#include "decisions/groups/switch_coordinator.h"

#include <algorithm>
#include <utility>

// The part of the coordinator that reads and orders the engines of ranks whose agents are silent.

namespace appleramp {

namespace {

// Time for the ranks to report to a new leader before it treats any as silent.
constexpr duration adoptionSettlingTime = std::chrono::milliseconds(200);
// Time between two readings of one engine; each reading is charged for.
constexpr duration silentRankReadInterval = std::chrono::milliseconds(120);

} // namespace

std::vector<silent_rank_action> switch_coordinator::takeSilentRankActions() { return std::exchange(m_silentRankActions, {}); }

// Only the leader does this; otherwise every waiting agent would read every engine.
void switch_coordinator::readSilentRanks(instant now, bool leads)
{
    if (!leads || now - m_phaseEnteredAt < (m_isAdopted ? adoptionSettlingTime : silentRankTimeout))
        return;
    for (auto& [rank, known] : m_statuses) {
        const bool isSettled = m_phase == phase::Concluding && isReleased(known.status);
        if (isSettled || now - known.receivedAt < silentRankTimeout || now - known.readRequestedAt < silentRankReadInterval)
            continue;
        known.readRequestedAt = now;
        m_silentRankActions.emplace_back(read_silent_rank { rank });
    }
}

void switch_coordinator::recordSilentRankState(instant now, const rank_state& state)
{
    const auto found = m_statuses.find(state.rank);
    const bool isSilent = found != m_statuses.end() && now - found->second.receivedAt >= silentRankTimeout;
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
    // The rank is not armed and the map of the switch is no longer prepared there, so it will never be armed.
    const bool canNeverArm = state.armedPass != m_switch.pass && isMapReplaced(state) && state.pass < m_switch.pass;
    if (canNeverArm && !hasDeclined(status))
        status.declinedPasses.push_back(m_switch.pass);
    if (auto order = orderForSilentRank(state)) {
        logEvent("foreign_order", std::string(nameOf(order->kind)) + " to rank " + std::to_string(state.rank));
        m_silentRankActions.emplace_back(send_silent_rank_order { state.rank, std::move(*order) });
    }
}

bool switch_coordinator::isMapReplaced(const rank_state& state) const
{
    if (!m_usesSingleHold || m_isVersionCertain)
        return state.preparedVersion != m_switch.version;
    return state.preparedVersion && std::find(m_replacements.begin(), m_replacements.end(), *state.preparedVersion) != m_replacements.end();
}

// A map with a higher version replaces the prepared one, so that the engine refuses an arm order that the silent agent has
// sent or sends when it resumes. The map in force is used because the engine need not copy any experts for it.
rank_order switch_coordinator::replacePreparedMapOrder(const rank_state& state)
{
    m_highestUsedVersion = nextMapVersion(std::max({ highestVersion(), m_switch.version, state.preparedVersion.value_or(0) }), *m_fallbackMap);
    m_replacements.push_back(m_highestUsedVersion);
    return { .kind = rank_order_kind::Prepare,
        .epoch = state.epoch,
        .expectedOrderCount = state.orderCount,
        .version = m_highestUsedVersion,
        .map = m_fallbackMap };
}

std::optional<rank_order> switch_coordinator::orderForSilentRank(const rank_state& state)
{
    rank_order order { .epoch = state.epoch, .expectedOrderCount = state.orderCount };
    const bool isArmed = state.armedPass == m_switch.pass;
    const bool isUndecided = m_phase == phase::Switching;
    if (!isArmed && !isMapReplaced(state) && (isUndecided || !m_isCommitted) && state.pass < m_switch.pass)
        return m_fallbackMap ? std::optional(replacePreparedMapOrder(state)) : std::nullopt;
    if (isUndecided || state.heldPass != m_switch.pass)
        return std::nullopt;
    if (isArmed && !m_isCommitted) {
        order.kind = rank_order_kind::Disarm;
        order.version = m_switch.version;
        return order;
    }
    if (!m_isCommitted && !mayReleaseAborted())
        return std::nullopt;
    order.kind = rank_order_kind::Release;
    order.pass = m_switch.pass;
    return order;
}

} // namespace appleramp
