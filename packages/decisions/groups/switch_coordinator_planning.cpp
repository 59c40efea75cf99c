#include "decisions/groups/switch_coordinator.h"

#include <algorithm>
#include <utility>

// How the coordinator plans the next map and has it prepared.

namespace appleramp {

namespace {

// A status older than this says nothing of its rank.
constexpr duration statusValidity = std::chrono::milliseconds(1200);
// Between two plans while none pays.
constexpr duration planInterval = std::chrono::milliseconds(150);
// Between two sends of a proposal to ranks that show nothing of it.
constexpr duration proposalResend = std::chrono::milliseconds(200);
// Sends of the changes before the whole map: a rank may not know the map that they are based on.
constexpr unsigned changesSent = 2;
// Ranks that are told one by one; with more, the whole map goes to all by relays, since copies for each would fill a
// narrow link for seconds.
constexpr std::size_t toldOneByOne = 4;
// Maps proposed here that are remembered; ranks remember as many.
constexpr std::size_t rememberedProposals = 4;
// A map that is not prepared everywhere by then is given up.
constexpr duration prepareTimeout = std::chrono::seconds(4);
// Smaller paces are the usual variation between engines, and no reason to move experts.
constexpr double slowFrom = 1.25;

} // namespace

bool switch_coordinator::isComplete(instant now) const
{
    if (m_ranks.empty() || m_ranks.size() != m_ranks.begin()->second.status.ranks)
        return false;
    const rank_status& first = m_ranks.begin()->second.status;
    return std::all_of(m_ranks.begin(), m_ranks.end(), [&](const auto& entry) {
        const rank_status& status = entry.second.status;
        return now - entry.second.heardAt < statusValidity && status.epoch == first.epoch && status.groupOpen
            && status.mapVersion == first.mapVersion && status.experts.size() == first.experts.size() && !status.experts.empty();
    });
}

bool switch_coordinator::isQuiet() const
{
    return std::none_of(m_ranks.begin(), m_ranks.end(),
        [](const auto& entry) { return entry.second.status.armedVersion || entry.second.status.heldPass; });
}

group_map switch_coordinator::currentMap() const
{
    const std::size_t sets = m_ranks.begin()->second.status.experts.size();
    group_map map(sets, m_ranks.size());
    for (const auto& [rank, known] : m_ranks) {
        for (std::size_t set = 0; set < sets; ++set)
            map.at(set, rank) = known.status.experts[set];
    }
    map.normalize();
    return map;
}

std::vector<double> switch_coordinator::paces() const
{
    std::vector<double> paces;
    for (const auto& [rank, known] : m_ranks)
        paces.push_back(known.status.pace < slowFrom ? 1 : known.status.pace);
    return paces;
}

map_number switch_coordinator::highestVersion() const
{
    map_number highest = m_highestUsed;
    for (const auto& [rank, known] : m_ranks)
        highest = std::max({ highest, known.status.mapVersion, known.status.preparedVersion.value_or(0) });
    return highest;
}

void switch_coordinator::planNext(instant now, std::vector<outgoing_message>& out)
{
    const std::size_t cells = m_popularity.loads().size();
    if (now < m_nextPlan || m_limits.planning.experts == 0 || m_popularity.weight() < m_limits.leastChoices)
        return;
    m_nextPlan = now + planInterval;
    if (!isComplete(now) || !isQuiet())
        return;
    const group_map current = currentMap();
    if (cells != current.sets() * m_limits.planning.experts)
        return;
    planning_limits limits = m_limits.planning;
    limits.paces = paces();
    const bool isUrgent = imbalance(current, m_popularity.loads(), limits.experts, limits.paces) >= m_limits.urgentImbalance;
    const duration copying = isUrgent ? m_limits.urgentCopying : m_limits.longestCopying;
    limits.copiesPerRank = static_cast<std::size_t>(std::max<duration::rep>(copying / std::max(m_limits.copyTime, duration(1)), 1));
    group_map_plan plan = planGroupMap(current, m_popularity.loads(), limits);
    if (plan.copies == 0 || plan.before - plan.after < m_limits.leastRelief * plan.before)
        return;
    note("map_proposed", "imbalance " + std::to_string(plan.before) + " to " + std::to_string(plan.after) + " copies " + std::to_string(plan.copies) + " most " + std::to_string(plan.mostCopies) + " slowest_pace " + std::to_string(*std::max_element(limits.paces.begin(), limits.paces.end())));
    propose(current, std::move(plan));
    enter(now, phase::Preparing);
    prepare(now, out);
}

void switch_coordinator::propose(const group_map& current, group_map_plan plan)
{
    const rank_status& any = m_ranks.begin()->second.status;
    plan.map.normalize();
    m_baseWasProposedHere = any.mapVersion == 0
        || std::find(m_proposedHere.begin(), m_proposedHere.end(), any.mapVersion) != m_proposedHere.end();
    m_highestUsed = numberAfter(highestVersion(), plan.map);
    m_proposal = { any.epoch, m_highestUsed, std::move(plan.map) };
    m_changes = { any.epoch, m_highestUsed, any.mapVersion, {} };
    m_proposedHere.push_back(m_highestUsed);
    if (m_proposedHere.size() > rememberedProposals)
        m_proposedHere.erase(m_proposedHere.begin());
    m_digests.clear();
    m_proposals = 0;
    m_askedAt.reset();
    m_base = std::make_shared<group_map>(current);
    const group_map& next = m_proposal.map;
    for (std::size_t rank = 0; rank < next.ranks(); ++rank) {
        m_digests.push_back(next.rankDigest(rank));
        for (std::size_t set = 0; set < next.sets(); ++set) {
            if (next.at(set, rank) != current.at(set, rank))
                m_changes.changes.push_back({ static_cast<std::uint16_t>(set), static_cast<std::uint16_t>(rank), next.at(set, rank) });
        }
    }
}

bool switch_coordinator::allAnsweredSince(instant then) const
{
    return std::all_of(m_ranks.begin(), m_ranks.end(), [then](const auto& entry) { return entry.second.heardAt > then; });
}

void switch_coordinator::prepare(instant now, std::vector<outgoing_message>& out)
{
    if (now - m_enteredAt > prepareTimeout) {
        note("map_given_up", "version " + std::to_string(m_proposal.version) + " is not prepared everywhere");
        return enter(now, phase::Idle);
    }
    std::size_t prepared = 0;
    std::vector<std::uint32_t> unaware;
    for (const auto& [rank, known] : m_ranks) {
        if (hasPrepared(known.status))
            ++prepared;
        else if (known.status.proposedVersion != m_proposal.version)
            unaware.push_back(rank);
    }
    if (now - m_sentAt >= proposalResend) {
        sendProposal(unaware, out);
        m_sentAt = now;
    }
    if (prepared != m_ranks.begin()->second.status.ranks)
        return;
    // An agent that was frozen or killed while it waited would hold the group until it is back.
    if (m_askedAt && allAnsweredSince(*m_askedAt))
        return beginSwitch(now, out);
    if (m_askedAt && now - m_sentAt < switchResend)
        return;
    if (!m_askedAt)
        m_askedAt = now;
    m_sentAt = now;
    out.push_back({ std::nullopt, status_wanted { m_proposal.epoch, m_ownRank } });
}

void switch_coordinator::sendProposal(std::span<const std::uint32_t> unaware, std::vector<outgoing_message>& out)
{
    const unsigned sent = m_proposals++;
    if (sent == 0) {
        // Who has proposed the map in force knows that the others heard of it; after a restart none may know it.
        if (m_baseWasProposedHere)
            out.push_back({ std::nullopt, m_changes });
        else
            out.push_back({ std::nullopt, m_proposal });
        return;
    }
    if (unaware.size() > toldOneByOne) {
        out.push_back({ std::nullopt, m_proposal });
        return;
    }
    for (const std::uint32_t rank : unaware) {
        if (sent < changesSent)
            out.push_back({ rank, m_changes });
        else
            out.push_back({ rank, m_proposal });
    }
}

} // namespace appleramp
