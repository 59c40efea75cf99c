#include "decisions/groups/switch_coordinator.h"

#include <algorithm>
#include <utility>

// The part of the coordinator that plans the next map and has every rank prepare it.

namespace appleramp {

namespace {

// A rank whose status is older than this may have changed since; no map is planned meanwhile.
constexpr duration statusValidity = std::chrono::milliseconds(1200);
// Time between two plans while no new map is worth its copies.
constexpr duration planInterval = std::chrono::milliseconds(150);
// Time between two sends of a proposal to ranks that have not reported it. Spreading it and collecting the reports takes
// longer in a large group.
constexpr duration proposalResendInterval = std::chrono::milliseconds(150);
constexpr duration proposalResendIntervalPerRank = std::chrono::milliseconds(3);
// After this many sends, ranks get the whole map instead of the changes, as they may not know the map that the changes are
// based on.
constexpr unsigned maxSendsOfChanges = 2;
// If more ranks than this need a resend, it is broadcast through relays, which takes the sender fewer bytes.
constexpr std::size_t maxUnicastRanks = 4;
// Number of own proposals that are remembered. Ranks remember the same number of maps.
constexpr std::size_t maxRememberedProposals = 4;
// A map that some rank has not prepared by then is abandoned.
constexpr duration prepareTimeout = std::chrono::seconds(4);
// Smaller slowdowns are the usual variation between engines and no reason to move experts.
constexpr double minRelevantSlowdown = 1.25;

} // namespace

bool switch_coordinator::isComplete(instant now) const
{
    if (m_statuses.empty() || m_statuses.size() != m_statuses.begin()->second.status.ranks)
        return false;
    const rank_status& first = m_statuses.begin()->second.status;
    return std::all_of(m_statuses.begin(), m_statuses.end(), [&](const auto& entry) {
        const rank_status& status = entry.second.status;
        return now - entry.second.receivedAt < statusValidity && status.epoch == first.epoch && status.groupOpen
            && status.mapVersion == first.mapVersion && status.experts.size() == first.experts.size() && !status.experts.empty();
    });
}

bool switch_coordinator::noRankHeldOrArmed() const
{
    return std::none_of(m_statuses.begin(), m_statuses.end(),
        [](const auto& entry) { return entry.second.status.armedVersion || entry.second.status.heldPass; });
}

group_map switch_coordinator::currentMap() const
{
    const std::size_t sets = m_statuses.begin()->second.status.experts.size();
    group_map map(sets, m_statuses.size());
    for (const auto& [rank, known] : m_statuses) {
        for (std::size_t set = 0; set < sets; ++set)
            map.at(set, rank) = known.status.experts[set];
    }
    map.normalize();
    return map;
}

std::vector<double> switch_coordinator::slowdownFactors() const
{
    std::vector<double> factors;
    for (const auto& [rank, known] : m_statuses)
        factors.push_back(known.status.slowdownFactor < minRelevantSlowdown ? 1 : known.status.slowdownFactor);
    return factors;
}

group_map_version switch_coordinator::highestVersion() const
{
    group_map_version highest = m_highestUsedVersion;
    for (const auto& [rank, known] : m_statuses)
        highest = std::max({ highest, known.status.mapVersion, known.status.preparedVersion.value_or(0) });
    return highest;
}

void switch_coordinator::planNext(instant now, std::vector<outgoing_message>& out)
{
    if (proposePreviousMap(now, out))
        return;
    const std::size_t loadCount = m_popularity.loads().size();
    if (now < m_nextPlanAt || m_limits.planning.experts == 0 || m_popularity.weight() < m_limits.minChoices)
        return;
    m_nextPlanAt = now + planInterval;
    if (!isComplete(now) || !noRankHeldOrArmed())
        return;
    const group_map current = currentMap();
    if (loadCount != current.sets() * m_limits.planning.experts)
        return;
    planning_limits limits = m_limits.planning;
    limits.slowdownFactors = slowdownFactors();
    const bool isUrgent = imbalance(current, m_popularity.loads(), limits.experts, limits.slowdownFactors) >= m_limits.urgentImbalance;
    // Demand may be about to shift, and a map for the mixture would hold up the one for the new demand.
    if (!isUrgent && m_popularity.isMoving())
        return;
    const duration copyBudget = isUrgent ? m_limits.urgentCopyBudget : m_limits.normalCopyBudget;
    limits.maxCopiesPerRank = static_cast<std::size_t>(std::max<duration::rep>(copyBudget / std::max(m_limits.copyTime, duration(1)), 1));
    group_map_plan plan = planGroupMap(current, m_popularity.loads(), limits);
    if (plan.copies == 0 || plan.imbalanceBefore - plan.imbalanceAfter < m_limits.minRelativeGain * plan.imbalanceBefore)
        return;
    logEvent("map_proposed", "imbalance " + std::to_string(plan.imbalanceBefore) + " to " + std::to_string(plan.imbalanceAfter) + " copies " + std::to_string(plan.copies) + " most " + std::to_string(plan.maxCopiesOfRank) + " slowest_pace " + std::to_string(*std::max_element(limits.slowdownFactors.begin(), limits.slowdownFactors.end())));
    propose(current, std::move(plan));
    enterPhase(now, phase::Preparing);
    awaitPrepared(now, out);
}

// The map is proposed once: if it can't be prepared or the switch is aborted, the next map comes from new choices.
bool switch_coordinator::proposePreviousMap(instant now, std::vector<outgoing_message>& out)
{
    if (!m_previousMap || !isComplete(now) || !noRankHeldOrArmed())
        return false;
    const auto previous = std::exchange(m_previousMap, nullptr);
    const group_map current = currentMap();
    const bool fits = previous->sets() == current.sets() && previous->ranks() == current.ranks();
    if (!fits || m_statuses.begin()->second.status.mapVersion != 0 || *previous == current)
        return false;
    logEvent("map_proposed", "the map of the previous epoch");
    propose(current, { .map = *previous });
    enterPhase(now, phase::Preparing);
    awaitPrepared(now, out);
    return true;
}

void switch_coordinator::propose(const group_map& current, group_map_plan plan)
{
    const rank_status& anyStatus = m_statuses.begin()->second.status;
    plan.map.normalize();
    m_ranksKnowBase = anyStatus.mapVersion == 0
        || std::find(m_ownProposals.begin(), m_ownProposals.end(), anyStatus.mapVersion) != m_ownProposals.end();
    m_highestUsedVersion = nextMapVersion(highestVersion(), plan.map);
    m_proposal = { anyStatus.epoch, m_highestUsedVersion, std::move(plan.map) };
    m_changes = { anyStatus.epoch, m_highestUsedVersion, anyStatus.mapVersion, {} };
    m_ownProposals.push_back(m_highestUsedVersion);
    if (m_ownProposals.size() > maxRememberedProposals)
        m_ownProposals.erase(m_ownProposals.begin());
    m_rankDigests.clear();
    m_proposalSends = 0;
    m_statusRequestedAt.reset();
    m_fallbackMap = std::make_shared<group_map>(current);
    const group_map& next = m_proposal.map;
    for (std::size_t rank = 0; rank < next.ranks(); ++rank) {
        m_rankDigests.push_back(next.rankDigest(rank));
        for (std::size_t set = 0; set < next.sets(); ++set) {
            if (next.at(set, rank) != current.at(set, rank))
                m_changes.changes.push_back({ static_cast<std::uint16_t>(set), static_cast<std::uint16_t>(rank), next.at(set, rank) });
        }
    }
}

bool switch_coordinator::allReportedSince(instant then) const
{
    return std::all_of(m_statuses.begin(), m_statuses.end(), [then](const auto& entry) { return entry.second.receivedAt > then; });
}

void switch_coordinator::awaitPrepared(instant now, std::vector<outgoing_message>& out)
{
    if (now - m_phaseEnteredAt > prepareTimeout) {
        logEvent("map_given_up", "version " + std::to_string(m_proposal.version) + " was not prepared by every rank in time");
        return enterPhase(now, phase::Idle);
    }
    // A restarted agent replaced the map that its predecessor had prepared, and can't prepare it again.
    const bool isReplaced = std::any_of(m_statuses.begin(), m_statuses.end(), [this](const auto& entry) {
        return entry.second.status.preparedVersion.value_or(0) > m_proposal.version;
    });
    if (m_usesSingleHold && isReplaced) {
        logEvent("map_given_up", "version " + std::to_string(m_proposal.version) + " was replaced");
        return enterPhase(now, phase::Idle);
    }
    std::size_t prepared = 0;
    std::vector<std::uint32_t> unaware;
    for (const auto& [rank, known] : m_statuses) {
        if (hasPrepared(known.status))
            ++prepared;
        else if (known.status.proposedVersion != m_proposal.version)
            unaware.push_back(rank);
    }
    const auto ranks = static_cast<duration::rep>(m_statuses.size());
    if (now - m_sentAt >= proposalResendInterval + proposalResendIntervalPerRank * ranks) {
        sendProposal(unaware, out);
        m_sentAt = now;
    }
    if (prepared != m_statuses.begin()->second.status.ranks)
        return;
    // Ask for a fresh status first: a rank whose agent froze or died since it prepared the map would hold the group until the
    // agent is back.
    if (m_usesSingleHold && !noRankHeldOrArmed())
        return;
    if (m_statusRequestedAt && allReportedSince(*m_statusRequestedAt))
        return beginSwitch(now, out);
    if (m_statusRequestedAt && now - m_sentAt < switchResendInterval)
        return;
    if (!m_statusRequestedAt)
        m_statusRequestedAt = now;
    m_sentAt = now;
    out.push_back({ std::nullopt, status_request { m_proposal.epoch, m_ownRank } });
}

void switch_coordinator::sendProposal(std::span<const std::uint32_t> unaware, std::vector<outgoing_message>& out)
{
    const unsigned sent = m_proposalSends++;
    // If this coordinator proposed the map in force, the ranks received it. After a restart no rank may know it.
    const bool sendsChanges = sent < maxSendsOfChanges && (m_ranksKnowBase || sent > 0);
    if (sent == 0 || unaware.size() > maxUnicastRanks) {
        const bool ranksKnowBase = m_ranksKnowBase && sendsChanges;
        out.push_back({ std::nullopt, ranksKnowBase ? group_message(m_changes) : group_message(m_proposal) });
        return;
    }
    for (const std::uint32_t rank : unaware)
        out.push_back({ rank, sendsChanges ? group_message(m_changes) : group_message(m_proposal) });
}

} // namespace appleramp
