#include "decisions/groups/switch_coordinator.h"

#include <algorithm>
#include <utility>

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
// Between two messages of a switch that some rank has not acted on.
constexpr duration switchResend = std::chrono::milliseconds(50);
// What goes on for long is sent less often: in a large group every message goes to all.
constexpr int resendSlowing = 10;
constexpr duration longestResend = std::chrono::milliseconds(400);
// A map that is not prepared everywhere by then is given up.
constexpr duration prepareTimeout = std::chrono::seconds(4);
// The outcome is told for so long at most; ranks that miss it ask.
// Bounds of what is taken for the time of a pass; an idle group makes none.
constexpr duration shortestPass = std::chrono::milliseconds(10);
constexpr duration longestPass = std::chrono::seconds(3);
constexpr int passTimeSmoothing = 6;
// Passes that take so many times longer than before show a slow rank: its time is taken over at once.
constexpr int suddenlySlower = 2;
// Statuses show a pass this much later than it began.
constexpr duration passNewsDelay = std::chrono::milliseconds(60);
// Passes from this length on are few enough to do without one to spare.
constexpr duration longPass = std::chrono::milliseconds(200);
// The lead in parts of the time that the last switch took, for orders that are lost.
constexpr int leadFactorNumerator = 5;
constexpr int leadFactorDenominator = 4;
// A switch that is not armed everywhere by then is declined by those that have not begun it.
constexpr duration declineAfter = std::chrono::milliseconds(400);
// A rank that is held for so long while nobody coordinates it is stranded.
constexpr duration strandedAfter = std::chrono::milliseconds(400);
// Smaller paces are the usual variation between engines, and no reason to move experts.
constexpr double slowFrom = 1.25;
constexpr duration concludeTimeout = std::chrono::seconds(15);

} // namespace

void switch_coordinator::noteStatus(instant now, const rank_status& status)
{
    notePass(now, status);
    known_status& known = m_ranks[status.rank];
    known.status = status;
    known.heardAt = now;
    std::erase_if(m_ranks, [&](const auto& entry) { return entry.second.status.epoch < status.epoch; });
}

void switch_coordinator::noteChoices(instant now, const rank_choices& choices) { m_popularity.add(now, choices.chosen); }

bool switch_coordinator::pursues(const switch_name& name) const
{
    return (m_phase == phase::Switching || m_phase == phase::Concluding) && m_switch.epoch == name.epoch && m_switch.pass == name.pass;
}

void switch_coordinator::noteOutcome(instant now, const switch_outcome& outcome)
{
    if (m_phase != phase::Switching || !pursues(outcome.name))
        return;
    m_committed = outcome.committed;
    enter(now, phase::Concluding);
}

void switch_coordinator::adopt(
    instant now, const switch_name& name, std::uint32_t ranks, std::shared_ptr<const group_map> anyMap)
{
    if (pursues(name))
        return;
    if (anyMap)
        m_base = std::move(anyMap);
    if (m_proposal.epoch != name.epoch || m_proposal.version != name.version)
        m_proposal = { name.epoch, name.version, {} };
    m_switch = name;
    m_adopted = true;
    expectAllRanks(now, ranks);
    note("switch_adopted", "pass " + std::to_string(name.pass));
    enter(now, phase::Switching);
}

void switch_coordinator::enter(instant now, phase next)
{
    m_phase = next;
    m_enteredAt = now;
    m_sentAt = {};
}

void switch_coordinator::note(std::string what, std::string detail) { m_notes.push_back({ std::move(what), std::move(detail) }); }

std::vector<coordinator_note> switch_coordinator::takeNotes() { return std::exchange(m_notes, {}); }

std::vector<outgoing_message> switch_coordinator::advance(instant now, bool leads, std::uint32_t ownRank)
{
    m_ownRank = ownRank;
    std::vector<outgoing_message> out;
    const bool epochOver = m_phase != phase::Idle
        && std::any_of(m_ranks.begin(), m_ranks.end(), [&](const auto& entry) { return entry.second.status.epoch > m_proposal.epoch; });
    if (epochOver) {
        note("switch_void", "the group formed anew");
        enter(now, phase::Idle);
    }
    switch (m_phase) {
    case phase::Idle:
        if (leads) {
            adoptStranded(now);
            planNext(now, out);
        }
        break;
    case phase::Preparing:
        prepare(now, out);
        break;
    case phase::Switching:
        lookAfterSilentRanks(now, leads);
        awaitArmed(now, out);
        break;
    case phase::Concluding:
        lookAfterSilentRanks(now, leads);
        tellOutcome(now, out);
        break;
    }
    return out;
}

// A switch whose coordinator forgot it: by a restart, or since the ranks' news came too late.
void switch_coordinator::adoptStranded(instant now)
{
    const auto stranded = std::find_if(m_ranks.begin(), m_ranks.end(), [](const auto& entry) { return entry.second.status.heldPass.has_value(); });
    if (stranded == m_ranks.end()) {
        m_strandedSince.reset();
        return;
    }
    if (!m_strandedSince)
        m_strandedSince = now;
    if (now - *m_strandedSince < strandedAfter)
        return;
    m_strandedSince.reset();
    const rank_status& status = stranded->second.status;
    const map_number version = status.armedVersion ? *status.armedVersion : status.preparedVersion.value_or(0);
    adopt(now, { status.epoch, version, *status.heldPass }, status.ranks, nullptr);
}

// Ranks that never spoke to this agent are as silent as those that fell silent.
void switch_coordinator::expectAllRanks(instant now, std::uint32_t ranks)
{
    for (std::uint32_t rank = 0; rank < ranks; ++rank) {
        const auto [found, isNew] = m_ranks.try_emplace(rank);
        if (!isNew)
            continue;
        found->second.status.rank = rank;
        found->second.status.ranks = ranks;
        found->second.status.epoch = m_switch.epoch;
        found->second.heardAt = now - silentRankAfter;
    }
}

duration switch_coordinator::resendInterval(instant now) const
{
    return std::min(switchResend + (now - m_enteredAt) / resendSlowing, longestResend);
}

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

void switch_coordinator::notePass(instant now, const rank_status& status)
{
    if (status.pass <= m_latestPass && status.epoch == m_proposal.epoch)
        return;
    const auto passes = static_cast<duration::rep>(status.pass - m_latestPass);
    const duration each = passes > 0 ? (now - m_latestPassAt) / passes : m_passTime;
    if (status.pass > m_latestPass && each < longestPass)
        m_passTime += each > m_passTime * suddenlySlower ? each - m_passTime : (each - m_passTime) / passTimeSmoothing;
    m_latestPass = status.pass;
    m_latestPassAt = now;
}

// Far enough ahead that every rank is held and armed before it; never a pass that was named before.
pass_number switch_coordinator::switchPass(instant now) const
{
    const duration since = std::min(now - m_latestPassAt, longestPass);
    // The pass under way has lasted for so long already.
    const duration pass = std::max({ m_passTime, since - passNewsDelay, shortestPass });
    const duration spare = pass >= longPass ? passNewsDelay : pass;
    const pass_number due = m_latestPass + static_cast<pass_number>((since + m_lead + spare + pass - duration(1)) / pass);
    return std::max(due, m_switch.epoch == m_proposal.epoch ? m_switch.pass + 1 : 0);
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

bool switch_coordinator::hasPrepared(const rank_status& status) const
{
    // Who took a switch over may not know the map; its number says what it holds.
    const bool isAsPlanned = m_proposal.map.empty() || (status.rank < m_digests.size() && status.preparedDigest == m_digests[status.rank]);
    return status.epoch == m_proposal.epoch && status.preparedVersion == m_proposal.version && isAsPlanned;
}

// Whether it is still held does not matter: an armed rank that was let go has been told that all are committed.
bool switch_coordinator::isArmed(const rank_status& status) const
{
    return hasPrepared(status) && status.armedVersion == m_switch.version && status.armedPass == m_switch.pass;
}

bool switch_coordinator::hasDeclined(const rank_status& status) const
{
    const auto& declined = status.declinedPasses;
    return std::find(declined.begin(), declined.end(), m_switch.pass) != declined.end();
}

// Two ranks that are armed for the pass with different maps: neither map can be committed there any more.
bool switch_coordinator::armedApart() const
{
    std::optional<map_number> version;
    for (const auto& [rank, known] : m_ranks) {
        const rank_status& status = known.status;
        if (status.epoch != m_switch.epoch || status.armedPass != m_switch.pass)
            continue;
        if (version && version != status.armedVersion)
            return true;
        version = status.armedVersion;
    }
    return false;
}

bool switch_coordinator::hasLetGo(const rank_status& status) const
{
    const bool armed = status.armedPass == m_switch.pass;
    return status.heldPass != m_switch.pass && (m_committed || !armed);
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

void switch_coordinator::beginSwitch(instant now, std::vector<outgoing_message>& out)
{
    m_switch = { m_proposal.epoch, m_proposal.version, switchPass(now) };
    m_adopted = false;
    m_beganAt = now;
    enter(now, phase::Switching);
    awaitArmed(now, out);
}

// Who took a switch over after a restart learns from the others which map it was for: one is armed with it, or they
// have it prepared.
void switch_coordinator::findVersion()
{
    for (const auto& [rank, known] : m_ranks) {
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
    if (m_switch.version == 0 && now - m_enteredAt >= switchResend)
        findVersion();
    std::size_t armed = 0;
    bool declined = false;
    const bool resend = now - m_sentAt >= resendInterval(now);
    for (const auto& [rank, known] : m_ranks) {
        const rank_status& status = known.status;
        if (isArmed(status))
            ++armed;
        else if (status.epoch == m_switch.epoch && hasDeclined(status))
            declined = true;
    }
    if (declined || armedApart())
        return conclude(now, false, out);
    // It was concluded by others, or else the pass could not have begun.
    if (m_latestPass >= m_switch.pass && m_ranks.begin()->second.status.epoch == m_switch.epoch)
        return enter(now, phase::Idle);
    if (!m_ranks.empty() && armed == m_ranks.begin()->second.status.ranks)
        return conclude(now, true, out);
    if (!resend)
        return;
    m_sentAt = now;
    // Who has not heard of it may be unknown here as well, so all are told again; after a while ranks that still take
    // no part are asked to decline, so that the others are not held for long.
    if (m_adopted || now - m_enteredAt >= declineAfter)
        out.push_back({ std::nullopt, status_query { m_switch, m_ownRank } });
    else
        out.push_back({ std::nullopt, switch_request { m_switch } });
}

void switch_coordinator::conclude(instant now, bool committed, std::vector<outgoing_message>& out)
{
    m_committed = committed;
    if (!committed)
        m_lead = std::min(m_lead * 2, longestLead);
    note(committed ? "switch_committed" : "switch_aborted",
        "version " + std::to_string(m_switch.version) + " pass " + std::to_string(m_switch.pass) + " after_ms "
            + std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(now - m_enteredAt).count()));
    enter(now, phase::Concluding);
    tellOutcome(now, out);
}

// Ranks that let go before the pass begins do not stop the group.
void switch_coordinator::learnLead(duration taken)
{
    const duration wanted = taken * leadFactorNumerator / leadFactorDenominator;
    m_lead = std::clamp(std::max(m_lead * 3 / 4, wanted), shortestLead, longestLead);
}

void switch_coordinator::tellOutcome(instant now, std::vector<outgoing_message>& out)
{
    const bool done = std::all_of(m_ranks.begin(), m_ranks.end(), [&](const auto& entry) { return hasLetGo(entry.second.status); });
    const bool told = m_sentAt != instant {};
    if (done && told && m_committed && !m_adopted)
        learnLead(now - m_beganAt);
    if ((done && told) || now - m_enteredAt > concludeTimeout) {
        m_nextPlan = now;
        return enter(now, phase::Idle);
    }
    if (now - m_sentAt < resendInterval(now))
        return;
    m_sentAt = now;
    out.push_back({ std::nullopt, switch_outcome { m_switch, m_committed } });
}

} // namespace appleramp
