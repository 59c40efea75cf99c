#include "decisions/groups/hold_keeper.h"

#include <algorithm>
#include <utility>

namespace appleramp {

namespace {

// All agents answer within this time, or one of them is frozen, dead or cut off. Answers usually take 10 to 30 ms.
constexpr duration readinessTimeout = std::chrono::milliseconds(150);
constexpr duration readinessResendInterval = std::chrono::milliseconds(40);
constexpr duration resendInterval = std::chrono::milliseconds(50);
constexpr duration maxResendInterval = std::chrono::milliseconds(400);
constexpr int resendBackoffDivisor = 10;
// From then on agents are asked to decline instead of being permitted again.
constexpr duration declineTimeout = std::chrono::milliseconds(400);
constexpr duration silentRankTimeout = std::chrono::milliseconds(450);
constexpr duration silentRankReadInterval = std::chrono::milliseconds(120);

// Requests whose hold was not read yet.
constexpr std::size_t maxRememberedRequests = 4;

} // namespace

void hold_keeper::logEvent(std::string what)
{
    m_logEvents.push_back({ std::move(what), "version " + std::to_string(m_name.version) + " pass " + std::to_string(m_name.pass) });
}

std::vector<coordinator_log_event> hold_keeper::takeLogEvents() { return std::exchange(m_logEvents, {}); }

std::vector<std::uint32_t> hold_keeper::takeSilentRanks() { return std::exchange(m_silentRanks, {}); }

void hold_keeper::enterPhase(phase next)
{
    m_phase = next;
    m_phaseEnteredAt.reset();
    m_sentAt.reset();
}

std::optional<pass_number> hold_keeper::releasablePass() const
{
    return m_phase == phase::Releasable ? m_heldPass : std::nullopt;
}

void hold_keeper::recordReading(instant now, const rank_state& state, const map_switch& rank)
{
    if (state.epoch != m_epoch) {
        const bool hadReading = m_hasReading;
        *this = hold_keeper {};
        m_epoch = state.epoch;
        m_hasReading = hadReading;
    }
    m_rank = state.rank;
    m_ranks = state.ranks;
    const bool isFirst = !std::exchange(m_hasReading, true);
    const bool isOwn = rank.isOwnHold(state);
    if (isOwn)
        m_usedPass = std::max(m_usedPass, *state.heldPass);
    const auto held = isOwn ? std::nullopt : state.heldPass;
    if (held != m_heldPass) {
        if (m_heldPass)
            m_usedPass = std::max(m_usedPass, *m_heldPass);
        m_heldPass = held;
        enterPhase(phase::None);
        if (held)
            beginHold(now, state, rank);
        if (held && isFirst)
            enterPhase(phase::Resolving);
    }
    askIfRequested(state, rank);
}

void hold_keeper::beginHold(instant now, const rank_state& state, const map_switch& rank)
{
    m_heldAt = now;
    m_name = { state.epoch, 0, *state.heldPass };
    m_isDeclined = false;
    m_ready.clear();
    m_armed.clear();
    m_cleared.clear();
    m_heardAt.clear();
    m_readAt.clear();
    const bool isUsable = *state.heldPass > m_usedPass && *state.heldPass <= state.pass + singleHoldHorizon && rank.mayUseSingleHold(state);
    // A late copy of an order, or one for which this process may not permit anything.
    enterPhase(isUsable ? phase::Held : phase::Releasable);
}

void hold_keeper::askIfRequested(const rank_state& state, const map_switch& rank)
{
    if (m_phase != phase::Held)
        return;
    const auto asked = std::find_if(m_requests.begin(), m_requests.end(), [&](const switch_id& name) { return name.epoch == state.epoch && name.pass == m_heldPass; });
    if (asked == m_requests.end())
        return;
    m_name = *asked;
    enterPhase(rank.hasDeclined(m_name.pass) ? phase::Releasable : phase::Asking);
}

void hold_keeper::recordRequest(const switch_request& request)
{
    if (std::find(m_requests.begin(), m_requests.end(), request.name) != m_requests.end())
        return;
    m_requests.push_back(request.name);
    if (m_requests.size() > maxRememberedRequests)
        m_requests.erase(m_requests.begin());
}

void hold_keeper::recordReadiness(const arm_readiness& answer)
{
    if (m_phase != phase::Asking || answer.name != m_name)
        return;
    if (answer.isReady)
        m_ready.insert(answer.rank);
    else
        abandon();
}

void hold_keeper::recordStatus(instant now, const rank_status& status)
{
    const bool isExpected = m_phase == phase::Permitted || m_phase == phase::Resolving || m_phase == phase::Aborting;
    if (!isExpected || status.epoch != m_epoch)
        return;
    m_heardAt[status.rank] = now;
    if (status.armedPass == m_name.pass && status.armedVersion)
        m_armed[status.rank] = *status.armedVersion;
    else
        m_armed.erase(status.rank);
    const auto& declined = status.declinedPasses;
    m_isDeclined = m_isDeclined || std::find(declined.begin(), declined.end(), m_name.pass) != declined.end();
    if (canNeverBeArmed(status, m_name.pass))
        m_cleared.insert(status.rank);
    noteConflictingArms();
}

// With two ranks armed with different maps for the pass, neither map can be committed there any more.
void hold_keeper::noteConflictingArms()
{
    const bool hasConflict = std::any_of(m_armed.begin(), m_armed.end(), [&](const auto& entry) { return entry.second != m_armed.begin()->second; });
    if (!hasConflict || m_phase == phase::Aborting)
        return;
    m_name.version = 0;
    m_isDeclined = true;
}

// Without the map of the switch, the engine refuses any arm order for it.
void hold_keeper::recordSilentRankState(const rank_state& state)
{
    const bool isExpected = (m_phase == phase::Permitted || m_phase == phase::Aborting) && m_name.version != 0;
    if (!isExpected || state.epoch != m_epoch || m_heardAt.contains(state.rank))
        return;
    if (state.armedPass == m_name.pass && state.armedVersion)
        m_armed[state.rank] = *state.armedVersion;
    else if (state.preparedVersion != m_name.version && state.pass < m_name.pass) {
        m_armed.erase(state.rank);
        m_cleared.insert(state.rank);
        m_isDeclined = true;
    }
}

void hold_keeper::recordOutcome(const switch_outcome& outcome)
{
    if (outcome.committed || outcome.name.epoch != m_epoch || outcome.name.pass != m_name.pass)
        return;
    // In other phases the statuses show what became of the switch.
    if (m_phase == phase::Asking || m_phase == phase::Held)
        abandon();
    else if (m_phase == phase::Permitted && outcome.name.version == m_name.version)
        m_isDeclined = true;
}

void hold_keeper::abandon()
{
    if (m_phase != phase::Held && m_phase != phase::Asking)
        return;
    logEvent("hold_abandoned");
    m_usedPass = std::max(m_usedPass, m_name.pass);
    m_isWithdrawalDue = true;
    enterPhase(phase::Releasable);
}

bool hold_keeper::allArmed() const
{
    return m_armed.size() == m_ranks
        && std::all_of(m_armed.begin(), m_armed.end(), [&](const auto& entry) { return entry.second == m_armed.begin()->second; });
}

std::vector<outgoing_message> hold_keeper::advance(instant now, const rank_state& state, map_switch& rank)
{
    std::vector<outgoing_message> out;
    if (m_phase == phase::None)
        return out;
    if ((m_phase == phase::Held || m_phase == phase::Asking) && now - m_heldAt >= readinessTimeout)
        abandon();
    // The other ranks need not wait for their pass, as this rank never will be armed for it.
    if (std::exchange(m_isWithdrawalDue, false) && rank.withdraw(m_name.pass, state))
        out.push_back({ std::nullopt, switch_outcome { m_name, false } });
    decide(out);
    if (!m_phaseEnteredAt)
        m_phaseEnteredAt = now;
    resend(now, out);
    readSilentRanks(now);
    return out;
}

void hold_keeper::decide(std::vector<outgoing_message>& out)
{
    if (m_phase == phase::Asking && m_ready.size() == m_ranks) {
        m_usedPass = std::max(m_usedPass, m_name.pass);
        enterPhase(phase::Permitted);
        return;
    }
    if (m_phase != phase::Permitted && m_phase != phase::Resolving && m_phase != phase::Aborting)
        return;
    if (m_phase != phase::Aborting && allArmed()) {
        m_name.version = m_armed.begin()->second;
        logEvent("hold_committed");
        enterPhase(phase::Releasable);
        out.push_back({ std::nullopt, switch_outcome { m_name, true } });
        return;
    }
    if (m_phase != phase::Aborting && m_isDeclined) {
        logEvent("hold_aborting");
        enterPhase(phase::Aborting);
    }
    if (m_phase == phase::Aborting && m_cleared.size() == m_ranks) {
        logEvent("hold_aborted");
        enterPhase(phase::Releasable);
    }
}

void hold_keeper::resend(instant now, std::vector<outgoing_message>& out)
{
    const duration elapsed = now - *m_phaseEnteredAt;
    const duration interval = m_phase == phase::Asking ? readinessResendInterval : std::min(resendInterval + elapsed / resendBackoffDivisor, maxResendInterval);
    if (m_sentAt && now - *m_sentAt < interval)
        return;
    if (m_phase == phase::Asking)
        out.push_back({ std::nullopt, arm_readiness_request { m_name, m_rank, {} } });
    else if (m_phase == phase::Permitted && elapsed < declineTimeout)
        out.push_back({ std::nullopt, arm_permission { m_name, m_rank } });
    else if (m_phase == phase::Permitted || m_phase == phase::Resolving || m_phase == phase::Aborting)
        out.push_back({ std::nullopt, status_query { m_name, m_rank } });
    if (m_phase == phase::Aborting)
        out.push_back({ std::nullopt, switch_outcome { m_name, false } });
    m_sentAt = now;
}

void hold_keeper::addTo(state_fingerprint& print) const
{
    for (const std::uint64_t number : { static_cast<std::uint64_t>(m_phase), m_epoch, m_name.version, m_name.pass, m_usedPass })
        print.add(number);
    for (const bool flag : { m_hasReading, m_isWithdrawalDue, m_isDeclined, m_sentAt.has_value() })
        print.add(static_cast<std::uint64_t>(flag));
    print.addAll(m_requests, [](state_fingerprint& to, const switch_id& name) {
        to.add(name.version);
        to.add(name.pass);
    });
    print.add(m_heldPass);
    const auto addRank = [](state_fingerprint& to, std::uint32_t rank) { to.add(std::uint64_t(rank)); };
    print.addAll(m_ready, addRank);
    print.addAll(m_cleared, addRank);
    print.addAll(m_armed, [](state_fingerprint& to, const auto& armed) {
        to.add(std::uint64_t(armed.first));
        to.add(armed.second);
    });
}

void hold_keeper::readSilentRanks(instant now)
{
    const bool mayRead = m_phase == phase::Permitted || m_phase == phase::Aborting;
    if (!mayRead || now - *m_phaseEnteredAt < silentRankTimeout)
        return;
    for (std::uint32_t rank = 0; rank < m_ranks; ++rank) {
        const bool isRead = m_readAt.contains(rank) && now - m_readAt[rank] < silentRankReadInterval;
        const bool isSilent = !m_heardAt.contains(rank) || now - m_heardAt[rank] >= silentRankTimeout;
        if (rank == m_rank || m_cleared.contains(rank) || !isSilent || isRead)
            continue;
        m_readAt[rank] = now;
        m_heardAt.erase(rank);
        m_silentRanks.push_back(rank);
    }
}

} // namespace appleramp
