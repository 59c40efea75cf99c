#include "decisions/groups/switch_coordinator.h"

#include <algorithm>
#include <utility>

namespace appleramp {

namespace {

// What goes on for long is sent less often: in a large group every message goes to all.
constexpr int resendSlowing = 10;
constexpr duration longestResend = std::chrono::milliseconds(400);
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
// The outcome is told for so long at most; ranks that miss it ask.
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
