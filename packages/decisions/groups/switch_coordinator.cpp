#include "decisions/groups/switch_coordinator.h"

#include <algorithm>
#include <utility>

namespace appleramp {

namespace {

// The resend interval grows by the time in the phase divided by this. Every resend is a broadcast, which is expensive in a
// large group.
constexpr int resendBackoffDivisor = 10;
constexpr duration maxResendInterval = std::chrono::milliseconds(400);
// Bounds for a measured pass time. An idle group runs no passes, so a long gap is not a long pass.
constexpr duration minPassTime = std::chrono::milliseconds(10);
constexpr duration maxPassTime = std::chrono::seconds(3);
constexpr int passTimeSmoothingDivisor = 6;
// A pass time above the estimate times this factor indicates a slow rank and replaces the estimate without smoothing.
constexpr int abruptSlowdownFactor = 2;
// Delay between the beginning of a pass and the status that reports it.
constexpr duration passReportDelay = std::chrono::milliseconds(60);
// Passes of this length or longer are so few that a switch gets only the report delay as spare time, not a whole pass.
constexpr duration longPassThreshold = std::chrono::milliseconds(200);
// The lead time is 5/4 of the time that the last switch took; the margin covers lost orders.
constexpr int leadTimeFactorNumerator = 5;
constexpr int leadTimeFactorDenominator = 4;
// If a rank is not armed by then, the ranks are asked for their status instead, and those that have not begun the switch
// decline it.
constexpr duration declineTimeout = std::chrono::milliseconds(400);
// A rank that is held for this long while no switch is coordinated here belongs to an abandoned switch.
constexpr duration strandedTimeout = std::chrono::milliseconds(400);
// The outcome is resent for at most this long; a rank that missed it sends a query.
constexpr duration concludeTimeout = std::chrono::seconds(15);

} // namespace

void switch_coordinator::recordStatus(instant now, const rank_status& status)
{
    updatePassTiming(now, status);
    known_status& known = m_statuses[status.rank];
    known.status = status;
    known.receivedAt = now;
    std::erase_if(m_statuses, [&](const auto& entry) { return entry.second.status.epoch < status.epoch; });
}

void switch_coordinator::recordChoices(instant now, const expert_choice_counts& choices)
{
    const std::uint64_t shifts = m_popularity.shifts();
    m_popularity.add(now, choices.counts);
    if (m_popularity.shifts() == shifts)
        return;
    // A map for the demand from before would only hold up the next one. No rank is held or armed for it yet.
    if (m_phase == phase::Preparing) {
        logEvent("map_superseded", "version " + std::to_string(m_proposal.version));
        enterPhase(now, phase::Idle);
    }
    m_nextPlanAt = now;
    logEvent("demand_shifted",
        "moved " + std::to_string(m_popularity.latestDistance()) + " usually " + std::to_string(m_popularity.steadyDistance()));
}

bool switch_coordinator::isHandling(const switch_id& name) const
{
    return (m_phase == phase::Switching || m_phase == phase::Concluding) && m_switch.epoch == name.epoch && m_switch.pass == name.pass;
}

void switch_coordinator::recordOutcome(instant now, const switch_outcome& outcome)
{
    if (m_phase != phase::Switching || !isHandling(outcome.name))
        return;
    // With a single hold, an outcome is that of one map.
    const bool isOther = outcome.name.version != 0 && m_switch.version != 0 && outcome.name.version != m_switch.version;
    if (m_usesSingleHold && isOther)
        return;
    m_isCommitted = outcome.committed;
    enterPhase(now, phase::Concluding);
}

void switch_coordinator::adopt(
    instant now, const switch_id& name, std::uint32_t ranks, std::shared_ptr<const group_map> fallbackMap)
{
    if (isHandling(name))
        return;
    if (fallbackMap)
        m_fallbackMap = std::move(fallbackMap);
    if (m_proposal.epoch != name.epoch || m_proposal.version != name.version)
        m_proposal = { name.epoch, name.version, {} };
    m_switch = name;
    m_isAdopted = true;
    m_isVersionCertain = true;
    m_replacements.clear();
    m_holder.reset();
    addMissingRanks(now, ranks);
    logEvent("switch_adopted", "pass " + std::to_string(name.pass));
    enterPhase(now, phase::Switching);
}

void switch_coordinator::enterPhase(instant now, phase next)
{
    m_phase = next;
    m_phaseEnteredAt = now;
    m_sentAt = {};
}

void switch_coordinator::logEvent(std::string what, std::string detail) { m_logEvents.push_back({ std::move(what), std::move(detail) }); }

std::vector<coordinator_log_event> switch_coordinator::takeLogEvents() { return std::exchange(m_logEvents, {}); }

std::vector<outgoing_message> switch_coordinator::advance(instant now, bool leads, std::uint32_t ownRank)
{
    m_ownRank = ownRank;
    std::vector<outgoing_message> out;
    const bool hasNewEpoch = m_phase != phase::Idle
        && std::any_of(m_statuses.begin(), m_statuses.end(), [&](const auto& entry) { return entry.second.status.epoch > m_proposal.epoch; });
    if (hasNewEpoch) {
        logEvent("switch_void", "the group formed again in a new epoch");
        enterPhase(now, phase::Idle);
    }
    switch (m_phase) {
    case phase::Idle:
        if (leads) {
            adoptStrandedSwitch(now);
            planNext(now, out);
        }
        break;
    case phase::Preparing:
        awaitPrepared(now, out);
        break;
    case phase::Switching:
        readSilentRanks(now, leads);
        awaitArmed(now, out);
        break;
    case phase::Concluding:
        readSilentRanks(now, leads);
        broadcastOutcome(now, out);
        break;
    }
    return out;
}

// Its coordinator lost track of it, because it restarted or because the ranks' statuses arrived too late.
void switch_coordinator::adoptStrandedSwitch(instant now)
{
    const auto stranded = std::find_if(m_statuses.begin(), m_statuses.end(), [](const auto& entry) { return entry.second.status.heldPass.has_value(); });
    if (stranded == m_statuses.end()) {
        m_strandedSince.reset();
        return;
    }
    if (!m_strandedSince)
        m_strandedSince = now;
    if (now - *m_strandedSince < strandedTimeout)
        return;
    m_strandedSince.reset();
    const rank_status& status = stranded->second.status;
    const group_map_version version = status.armedVersion ? *status.armedVersion : status.preparedVersion.value_or(0);
    adopt(now, { status.epoch, version, *status.heldPass }, status.ranks, nullptr);
    m_isVersionCertain = status.armedVersion.has_value();
}

// A rank that never reported to this agent is treated like one whose agent fell silent.
void switch_coordinator::addMissingRanks(instant now, std::uint32_t ranks)
{
    for (std::uint32_t rank = 0; rank < ranks; ++rank) {
        const auto [found, isNew] = m_statuses.try_emplace(rank);
        if (!isNew)
            continue;
        found->second.status.rank = rank;
        found->second.status.ranks = ranks;
        found->second.status.epoch = m_switch.epoch;
        if (m_usesSingleHold)
            found->second.status.singleHoldFromPass = 0;
        found->second.receivedAt = now - silentRankTimeout;
    }
}

duration switch_coordinator::resendInterval(instant now) const
{
    return std::min(switchResendInterval + (now - m_phaseEnteredAt) / resendBackoffDivisor, maxResendInterval);
}

void switch_coordinator::updatePassTiming(instant now, const rank_status& status)
{
    if (status.pass <= m_latestPass && status.epoch == m_proposal.epoch)
        return;
    const auto passes = static_cast<duration::rep>(status.pass - m_latestPass);
    const duration passTime = passes > 0 ? (now - m_latestPassAt) / passes : m_passTime;
    if (status.pass > m_latestPass && passTime < maxPassTime)
        m_passTime += passTime > m_passTime * abruptSlowdownFactor ? passTime - m_passTime : (passTime - m_passTime) / passTimeSmoothingDivisor;
    m_latestPass = status.pass;
    m_latestPassAt = now;
}

// Never returns the pass of an earlier switch in the same epoch.
pass_number switch_coordinator::chooseSwitchPass(instant now) const
{
    const duration sincePass = std::min(now - m_latestPassAt, maxPassTime);
    // The pass under way may already have lasted longer than the estimate.
    const duration pass = std::max({ m_passTime, sincePass - passReportDelay, minPassTime });
    const duration margin = pass >= longPassThreshold ? passReportDelay : pass;
    const pass_number earliest = m_latestPass + static_cast<pass_number>((sincePass + m_leadTime + margin + pass - duration(1)) / pass);
    return std::max(earliest, m_switch.epoch == m_proposal.epoch ? m_switch.pass + 1 : 0);
}

bool switch_coordinator::hasPrepared(const rank_status& status) const
{
    // A coordinator that adopted the switch may not know the map; its version includes a digest of the contents.
    const bool isAsPlanned = m_proposal.map.empty() || (status.rank < m_rankDigests.size() && status.preparedDigest == m_rankDigests[status.rank]);
    return status.epoch == m_proposal.epoch && status.preparedVersion == m_proposal.version && isAsPlanned;
}

// Whether the rank is still held does not matter: an armed rank is released only after the switch was committed.
bool switch_coordinator::isArmed(const rank_status& status) const
{
    return hasPrepared(status) && status.armedVersion == m_switch.version && status.armedPass == m_switch.pass;
}

bool switch_coordinator::hasDeclined(const rank_status& status) const
{
    const auto& declined = status.declinedPasses;
    return std::find(declined.begin(), declined.end(), m_switch.pass) != declined.end();
}

// With two ranks armed with different maps for the pass, neither map can be committed there any more.
bool switch_coordinator::hasConflictingArms() const
{
    std::optional<group_map_version> version;
    for (const auto& [rank, known] : m_statuses) {
        const rank_status& status = known.status;
        if (status.epoch != m_switch.epoch || status.armedPass != m_switch.pass)
            continue;
        if (version && version != status.armedVersion)
            return true;
        version = status.armedVersion;
    }
    return false;
}

bool switch_coordinator::isReleased(const rank_status& status) const
{
    const bool armed = status.armedPass == m_switch.pass;
    return status.heldPass != m_switch.pass && (m_isCommitted || !armed);
}

void switch_coordinator::beginSwitch(instant now, std::vector<outgoing_message>& out)
{
    m_switch = { m_proposal.epoch, m_proposal.version, chooseSwitchPass(now) };
    m_isAdopted = false;
    m_isVersionCertain = true;
    m_replacements.clear();
    m_holder = chooseHolder();
    m_switchBeganAt = now;
    enterPhase(now, phase::Switching);
    awaitArmed(now, out);
}

// A coordinator that adopted the switch after a restart may not know its map. The held ranks show it: one is armed with the
// map, or they have it prepared.
void switch_coordinator::inferMapVersion()
{
    m_isVersionCertain = false;
    for (const auto& [rank, known] : m_statuses) {
        const rank_status& status = known.status;
        if (status.epoch != m_switch.epoch || status.heldPass != m_switch.pass)
            continue;
        if (status.armedPass == m_switch.pass) {
            m_switch.version = *status.armedVersion;
            break;
        }
        m_switch.version = std::max(m_switch.version, status.preparedVersion.value_or(0));
    }
    if (m_proposal.version != m_switch.version || m_proposal.epoch != m_switch.epoch)
        m_proposal = { m_switch.epoch, m_switch.version, {} };
}

void switch_coordinator::awaitArmed(instant now, std::vector<outgoing_message>& out)
{
    if (m_switch.version == 0 && now - m_phaseEnteredAt >= switchResendInterval)
        inferMapVersion();
    std::size_t armed = 0;
    bool declined = false;
    const bool resend = now - m_sentAt >= resendInterval(now);
    for (const auto& [rank, known] : m_statuses) {
        const rank_status& status = known.status;
        if (isArmed(status))
            ++armed;
        else if (status.epoch == m_switch.epoch && hasDeclined(status))
            declined = true;
    }
    if (declined || hasConflictingArms())
        return conclude(now, false, out);
    // Another coordinator concluded the switch; otherwise the pass could not have begun.
    if (m_latestPass >= m_switch.pass && m_statuses.begin()->second.status.epoch == m_switch.epoch)
        return enterPhase(now, phase::Idle);
    if (!m_statuses.empty() && armed == m_statuses.begin()->second.status.ranks)
        return conclude(now, true, out);
    if (!resend)
        return;
    m_sentAt = now;
    // A rank that missed the message may also be unknown here, so every resend is a broadcast. After a while the query lets
    // ranks that still take no part decline, so that the others are not held for long.
    if (m_isAdopted || now - m_phaseEnteredAt >= declineTimeout)
        out.push_back({ std::nullopt, status_query { m_switch, m_ownRank } });
    else {
        out.push_back({ std::nullopt, switch_request { m_switch, m_holder } });
        orderSingleHold();
    }
}

void switch_coordinator::conclude(instant now, bool committed, std::vector<outgoing_message>& out)
{
    m_isCommitted = committed;
    if (!committed)
        m_leadTime = std::min(m_leadTime * 2, maxLeadTime);
    logEvent(committed ? "switch_committed" : "switch_aborted",
        "version " + std::to_string(m_switch.version) + " pass " + std::to_string(m_switch.pass) + " after_ms "
            + std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(now - m_phaseEnteredAt).count()));
    enterPhase(now, phase::Concluding);
    broadcastOutcome(now, out);
}

// With enough lead time every rank is released before the pass is due, and the group does not stop.
void switch_coordinator::updateLeadTime(duration taken)
{
    const duration leadTime = taken * leadTimeFactorNumerator / leadTimeFactorDenominator;
    m_leadTime = std::clamp(std::max(m_leadTime * 3 / 4, leadTime), minLeadTime, maxLeadTime);
}

void switch_coordinator::broadcastOutcome(instant now, std::vector<outgoing_message>& out)
{
    const bool allReleased = std::all_of(m_statuses.begin(), m_statuses.end(), [&](const auto& entry) { return isReleased(entry.second.status); });
    const bool wasSent = m_sentAt != instant {};
    if (allReleased && wasSent && m_isCommitted && !m_isAdopted)
        updateLeadTime(now - m_switchBeganAt);
    if ((allReleased && wasSent) || now - m_phaseEnteredAt > concludeTimeout) {
        m_nextPlanAt = now;
        return enterPhase(now, phase::Idle);
    }
    if (now - m_sentAt < resendInterval(now))
        return;
    m_sentAt = now;
    out.push_back({ std::nullopt, switch_outcome { m_switch, m_isCommitted } });
}

} // namespace appleramp
