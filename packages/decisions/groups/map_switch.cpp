#include "decisions/groups/map_switch.h"

#include <algorithm>
#include <utility>

namespace appleramp {

namespace {

// Outcomes that are remembered, for holds that are carried out late.
constexpr std::size_t rememberedOutcomes = 64;
constexpr std::size_t rememberedMaps = 4;
// Declined passes that are told; a switch is settled long before so many others are declined.
constexpr std::size_t rememberedDeclines = 8;
// An order that the engine has not begun by then was lost or is late; copies of it exclude each other.
constexpr duration unansweredTimeout = std::chrono::milliseconds(150);
// A map that brings no expert is prepared at once; an order for it that shows nothing by then was lost.
constexpr duration replaceTimeout = std::chrono::milliseconds(250);
// Copying the experts of one map takes less.
constexpr duration copyTimeout = std::chrono::milliseconds(3000);

} // namespace

void map_switch::enterEpoch(group_epoch epoch)
{
    // A group that forms anew has map 0 and nothing prepared, armed or held; the epoch in each order keeps old ones out.
    const bool keepsProposal = m_epoch == 0;
    m_epoch = epoch;
    if (!keepsProposal) {
        m_map.reset();
        m_known.clear();
        m_proposedVersion = 0;
        m_refusedVersion = 0;
        m_prepareOrderedAt.reset();
    }
    m_switch.reset();
    m_isGuessed = false;
    m_armSent.reset();
    m_replaceOrderedAt.reset();
    m_placeholder.reset();
    m_declined.clear();
    m_holdRefused = false;
    m_holdRefusedAt.reset();
    m_holdOrdered.reset();
    m_heldSince.reset();
    m_outcomes.clear();
}

// A hold that an earlier life of this agent ordered. That life may have sent the arm order as well, which may still be
// carried out.
void map_switch::adoptForeignHold(const rank_state& state)
{
    if (m_switch || !state.heldPass || m_holdOrdered == state.heldPass)
        return;
    if (!state.preparedVersion) {
        // Nothing can arm what is not prepared.
        decline(*state.heldPass);
        return;
    }
    m_switch = switch_name { state.epoch, *state.preparedVersion, *state.heldPass };
    m_isGuessed = true;
    m_armSent = state.heldPass;
    m_holdOrdered = state.heldPass;
}

void map_switch::propose(const map_proposal& proposal)
{
    // Changes applied to another base than was meant would give this rank a map of its own.
    const bool isMeant = isNumberOf(proposal.version, proposal.map);
    if (proposal.epoch != m_epoch || proposal.version <= m_proposedVersion || !isMeant)
        return;
    auto map = std::make_shared<group_map>(proposal.map);
    map->normalize();
    m_map = std::move(map);
    m_proposedVersion = proposal.version;
    m_prepareOrderedAt.reset();
    m_known[proposal.version] = m_map;
    while (m_known.size() > rememberedMaps)
        m_known.erase(m_known.begin());
}

void map_switch::noteFirstMap(const group_map& map)
{
    if (!m_known.contains(0))
        m_known[0] = std::make_shared<group_map>(map);
}

void map_switch::propose(const map_changes& changes, std::size_t experts, std::size_t sets, std::size_t ranks)
{
    const auto known = m_known.find(changes.base);
    if (changes.base != 0 && known == m_known.end())
        return;
    map_proposal whole { changes.epoch, changes.version,
        changes.base == 0 ? group_map::dealtInTurn(sets, experts, ranks) : *known->second };
    for (const rank_experts& change : changes.changes) {
        if (change.set >= whole.map.sets() || change.rank >= whole.map.ranks())
            return;
        whole.map.at(change.set, change.rank) = change.experts;
    }
    propose(whole);
}

void map_switch::request(const switch_request& request)
{
    if (m_isGuessed && m_switch && m_switch->pass == request.name.pass && request.name.epoch == m_epoch) {
        m_switch = request.name;
        m_isGuessed = false;
        return;
    }
    if (request.name.epoch != m_epoch || hasDeclined(request.name.pass) || outcomeAt(request.name.pass))
        return;
    if (m_switch && *m_switch != request.name && !outcomeAt(m_switch->pass))
        return;
    if (m_switch == request.name)
        return;
    m_switch = request.name;
    m_isGuessed = false;
    m_holdRefused = false;
    m_holdRefusedAt.reset();
}

void map_switch::conclude(const switch_outcome& outcome)
{
    if (outcome.name.epoch != m_epoch || outcomeAt(outcome.name.pass))
        return;
    m_outcomes.push_back(outcome);
    if (m_outcomes.size() > rememberedOutcomes)
        m_outcomes.pop_front();
}

void map_switch::noteRefused(const rank_order& order)
{
    if (order.epoch != m_epoch)
        return;
    if (order.kind == rank_order_kind::Prepare)
        m_refusedVersion = std::max(m_refusedVersion, order.version);
    if (order.kind != rank_order_kind::Hold || !m_switch || m_switch->pass != order.pass)
        return;
    // Another order may have come between; the next reading shows its count.
    m_holdRefused = m_holdRefusedAt == order.expectedOrderCount;
    m_holdRefusedAt = order.expectedOrderCount;
}

std::optional<bool> map_switch::outcomeAt(pass_number pass) const
{
    const auto known = outcomeOf(pass);
    return known ? std::optional(known->committed) : std::nullopt;
}

std::optional<switch_name> map_switch::waiting() const
{
    if (!m_switch || outcomeAt(m_switch->pass))
        return std::nullopt;
    return m_isGuessed ? switch_name { m_switch->epoch, 0, m_switch->pass } : *m_switch;
}

std::optional<rank_order> map_switch::advance(instant now, const rank_state& state)
{
    if (state.epoch != m_epoch)
        enterEpoch(state.epoch);
    if (!state.heldPass)
        m_heldSince.reset();
    else if (!m_heldSince)
        m_heldSince = now;
    adoptForeignHold(state);
    noteSettledArm(state);
    if (state.heldPass) {
        if (const auto outcome = outcomeAt(*state.heldPass))
            return concludedOrder(now, state, *state.heldPass, *outcome);
    }
    if (mayLetGo(state))
        return concludedOrder(now, state, *state.heldPass, false);
    if (m_switch)
        return switchOrder(now, state);
    return prepareOrder(now, state);
}

// Once the pass has begun, or another map is prepared, no copy of the arm order fits any more.
void map_switch::noteSettledArm(const rank_state& state)
{
    if (!m_armSent || !m_switch)
        return;
    const bool isReplaced = state.armedPass != m_armSent && state.preparedVersion && *state.preparedVersion > m_switch->version;
    if (state.pass >= *m_armSent || isReplaced) {
        m_armSent.reset();
        m_replaceOrderedAt.reset();
    }
}

// Another map in the place of the prepared one makes copies of the arm order that come late unfit.
std::optional<rank_order> map_switch::replaceOrder(instant now, const rank_state& state)
{
    const bool isUnderWay = m_replaceOrderedAt && now - *m_replaceOrderedAt < replaceTimeout;
    if (!m_placeholder || isUnderWay)
        return std::nullopt;
    m_replaceOrderedAt = now;
    rank_order replace = order(state, rank_order_kind::Prepare);
    replace.version = numberAfter(std::max(state.preparedVersion.value_or(0), m_proposedVersion), *m_placeholder);
    replace.map = m_placeholder;
    return replace;
}

rank_order map_switch::order(const rank_state& state, rank_order_kind kind) const
{
    return { .kind = kind, .epoch = state.epoch, .expectedOrderCount = state.orderCount };
}

std::optional<rank_order> map_switch::concludedOrder(instant now, const rank_state& state, pass_number pass, bool committed)
{
    if (!committed && state.armedVersion && state.armedPass == pass) {
        rank_order undo = order(state, rank_order_kind::Disarm);
        undo.version = *state.armedVersion;
        return undo;
    }
    // Held until the engine was read back with the other map.
    if (!committed && m_armSent == pass)
        return replaceOrder(now, state);
    rank_order release = order(state, rank_order_kind::Go);
    release.pass = pass;
    return release;
}

bool map_switch::hasDeclined(pass_number pass) const
{
    return std::find(m_declined.begin(), m_declined.end(), pass) != m_declined.end();
}

void map_switch::decline(pass_number pass)
{
    if (hasDeclined(pass))
        return;
    m_declined.push_back(pass);
    if (m_declined.size() > rememberedDeclines)
        m_declined.erase(m_declined.begin());
}

void map_switch::answerQuery(const switch_name& name, const rank_state& state)
{
    const pass_number pass = name.pass;
    if (m_isGuessed && m_switch && m_switch->pass == pass && name.version != 0) {
        m_switch = name;
        m_isGuessed = false;
    }
    // An earlier life of this agent may have armed the rank and let it go on an outcome that this one does not know.
    const bool isArmed = state.armedPass && *state.armedPass <= pass;
    const bool isEngaged = isArmed || (m_switch && m_switch->pass == pass) || m_armSent == pass;
    if (!isEngaged && state.pass < pass && !outcomeAt(pass))
        decline(pass);
}

std::optional<switch_outcome> map_switch::outcomeOf(pass_number pass) const
{
    const auto found = std::find_if(m_outcomes.begin(), m_outcomes.end(), [pass](const auto& known) { return known.name.pass == pass; });
    return found == m_outcomes.end() ? std::nullopt : std::optional(*found);
}

// That this rank has declined is itself the outcome, if no arm order of its own can still be carried out.
bool map_switch::mayLetGo(const rank_state& state) const
{
    return state.heldPass && hasDeclined(*state.heldPass) && state.armedPass != state.heldPass
        && m_armSent != state.heldPass;
}

std::optional<rank_order> map_switch::switchOrder(instant now, const rank_state& state)
{
    const switch_name& name = *m_switch;
    if (const auto outcome = outcomeAt(name.pass)) {
        // An aborted arm that the rank is not held for any more could switch it alone; the pass must not have begun then.
        if (!*outcome && state.armedPass == name.pass)
            return concludedOrder(now, state, name.pass, false);
        if (!state.heldPass)
            m_switch.reset();
        return std::nullopt;
    }
    // Armed for an earlier pass, to which it is committed: arming anew would undo that.
    if (state.armedVersion && state.armedPass != name.pass)
        decline(name.pass);
    if (hasDeclined(name.pass)) {
        if (!state.heldPass && !m_armSent)
            m_switch.reset();
        return std::nullopt;
    }
    if (state.heldPass != name.pass) {
        if (state.pass >= name.pass || m_holdRefused) {
            decline(name.pass);
            return std::nullopt;
        }
        rank_order hold = order(state, rank_order_kind::Hold);
        hold.pass = name.pass;
        m_holdOrdered = name.pass;
        return hold;
    }
    if (state.armedPass == name.pass || m_isGuessed)
        return std::nullopt;
    return armOrder(state);
}

std::optional<rank_order> map_switch::armOrder(const rank_state& state)
{
    const switch_name& name = *m_switch;
    if (state.preparedVersion != name.version) {
        // Nothing can arm what is not prepared.
        m_armSent.reset();
        decline(name.pass);
        return std::nullopt;
    }
    rank_order arm = order(state, rank_order_kind::Arm);
    arm.version = name.version;
    arm.pass = name.pass;
    m_armSent = name.pass;
    return arm;
}

bool map_switch::isUnderWay(const rank_state& state) const
{
    const bool prepares = m_prepareOrderedAt && m_proposedVersion > m_refusedVersion && state.mapVersion < m_proposedVersion;
    return prepares || m_switch || state.heldPass || state.armedPass;
}

std::optional<rank_order> map_switch::prepareOrder(instant now, const rank_state& state)
{
    const bool isKnown = m_map && m_proposedVersion > state.mapVersion && m_proposedVersion > state.preparedVersion.value_or(0);
    if (!isKnown || m_proposedVersion <= m_refusedVersion || state.isBusy || state.armedVersion || !state.groupOpen)
        return std::nullopt;
    const bool begun = m_prepareOrderedAt && state.orderCount > m_prepareExpected;
    if (m_prepareOrderedAt && now - *m_prepareOrderedAt < (begun ? copyTimeout : unansweredTimeout))
        return std::nullopt;
    m_prepareOrderedAt = now;
    m_prepareExpected = state.orderCount;
    rank_order prepare = order(state, rank_order_kind::Prepare);
    prepare.version = m_proposedVersion;
    prepare.map = m_map;
    return prepare;
}

} // namespace appleramp
