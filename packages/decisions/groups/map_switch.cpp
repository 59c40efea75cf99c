#include "decisions/groups/map_switch.h"

#include <algorithm>
#include <utility>

namespace appleramp {

namespace {

// Outcomes are remembered for holds that the engine carries out late.
constexpr std::size_t maxRememberedOutcomes = 64;
constexpr std::size_t maxRememberedMaps = 4;
// Declined passes that are reported. A switch is settled long before this many later ones are declined.
constexpr std::size_t maxRememberedDeclines = 8;
// An order that the engine has not begun by then was lost or delayed, and is issued again. Both copies expect the same order
// count, so at most one takes effect.
constexpr duration unansweredTimeout = std::chrono::milliseconds(150);
// A map without new experts is prepared at once. If the engine does not show it by then, the order was lost.
constexpr duration replaceTimeout = std::chrono::milliseconds(250);
// Copying the experts of one map takes less than this.
constexpr duration copyTimeout = std::chrono::milliseconds(3000);

} // namespace

void map_switch::enterEpoch(group_epoch epoch)
{
    // In a new epoch the group has map 0 and nothing prepared, armed or held. Engines refuse orders of an earlier epoch.
    const bool keepsProposal = m_epoch == 0;
    m_epoch = epoch;
    if (!keepsProposal) {
        m_proposedMap.reset();
        m_knownMaps.clear();
        m_proposedVersion = 0;
        m_refusedVersion = 0;
        m_prepareOrderedAt.reset();
    }
    m_switch.reset();
    m_isInferred = false;
    m_armSentPass.reset();
    m_replaceOrderedAt.reset();
    m_placeholderMap.reset();
    m_declinedPasses.clear();
    m_holdRefused = false;
    m_holdRefusedOrderCount.reset();
    m_holdOrderedPass.reset();
    m_heldSince.reset();
    m_outcomes.clear();
    m_barredUntil = 0;
    m_unsettledVersion.reset();
    m_holder.reset();
    m_isReady = false;
    m_isPermitted = false;
    m_releasablePass.reset();
}

// Takes over a hold that this agent ordered before a restart. It may have sent the arm order as well, which may still be
// carried out.
void map_switch::adoptPreviousHold(const rank_state& state)
{
    if (m_switch || !state.heldPass || m_holdOrderedPass == state.heldPass)
        return;
    if (!state.preparedVersion) {
        // Without a prepared map no arm order can succeed.
        decline(*state.heldPass);
        return;
    }
    m_switch = switch_id { state.epoch, *state.preparedVersion, *state.heldPass };
    m_isInferred = true;
    m_armSentPass = state.heldPass;
    m_armSentVersion = *state.preparedVersion;
    m_holdOrderedPass = state.heldPass;
}

void map_switch::propose(const map_proposal& proposal)
{
    // Changes that were applied to a wrong base would give this rank a different map than the others.
    const bool digestMatches = mapVersionMatches(proposal.version, proposal.map);
    if (proposal.epoch != m_epoch || proposal.version <= m_proposedVersion || !digestMatches)
        return;
    auto map = std::make_shared<group_map>(proposal.map);
    map->normalize();
    m_proposedMap = std::move(map);
    m_proposedVersion = proposal.version;
    m_prepareOrderedAt.reset();
    m_knownMaps[proposal.version] = m_proposedMap;
    while (m_knownMaps.size() > maxRememberedMaps)
        m_knownMaps.erase(m_knownMaps.begin());
}

std::shared_ptr<const group_map> map_switch::knownMap(group_map_version version) const
{
    const auto found = m_knownMaps.find(version);
    return found == m_knownMaps.end() ? nullptr : found->second;
}

void map_switch::setInitialMap(const group_map& map)
{
    if (!m_knownMaps.contains(0))
        m_knownMaps[0] = std::make_shared<group_map>(map);
}

void map_switch::propose(const map_changes& changes, std::size_t experts, std::size_t sets, std::size_t ranks)
{
    const auto known = m_knownMaps.find(changes.base);
    if (changes.base != 0 && known == m_knownMaps.end())
        return;
    map_proposal whole { changes.epoch, changes.version,
        changes.base == 0 ? group_map::roundRobin(sets, experts, ranks) : *known->second };
    for (const rank_experts& change : changes.changes) {
        if (change.set >= whole.map.sets() || change.rank >= whole.map.ranks())
            return;
        whole.map.at(change.set, change.rank) = change.experts;
    }
    propose(whole);
}

void map_switch::request(const switch_request& request)
{
    if (m_isInferred && m_switch && m_switch->pass == request.name.pass && request.name.epoch == m_epoch) {
        m_switch = request.name;
        m_isInferred = false;
        return;
    }
    if (request.holder && !m_usesSingleHold)
        return;
    // The order to arm for the other pass is still to be undone, made void or brought into force.
    if (m_usesSingleHold && m_armSentPass && *m_armSentPass != request.name.pass)
        return;
    if (request.name.epoch != m_epoch || hasDeclined(request.name.pass) || decisionAt(request.name.pass))
        return;
    if (m_switch && *m_switch != request.name && !decisionAt(m_switch->pass))
        return;
    if (m_switch == request.name)
        return;
    m_switch = request.name;
    m_holder = request.holder;
    m_isReady = false;
    m_isPermitted = false;
    m_isInferred = false;
    m_holdRefused = false;
    m_holdRefusedOrderCount.reset();
}

void map_switch::recordOutcome(const switch_outcome& outcome)
{
    if (outcome.name.epoch != m_epoch || decisionAt(outcome.name.pass))
        return;
    // With a single hold, two switches to different maps at one pass may have different outcomes.
    const bool isForOtherMap = m_switch && m_switch->pass == outcome.name.pass && outcome.name.version != 0 && m_switch->version != outcome.name.version;
    if (m_usesSingleHold && isForOtherMap)
        return;
    m_outcomes.push_back(outcome);
    if (m_outcomes.size() > maxRememberedOutcomes)
        m_outcomes.pop_front();
}

void map_switch::recordRefusal(const rank_order& order)
{
    if (order.epoch != m_epoch)
        return;
    if (order.kind == rank_order_kind::Prepare)
        m_refusedVersion = std::max(m_refusedVersion, order.version);
    if (order.kind != rank_order_kind::Hold || !m_switch || m_switch->pass != order.pass)
        return;
    // The first refusal may be due to another order that was begun in between. The next reading shows the new count.
    m_holdRefused = m_holdRefusedOrderCount == order.expectedOrderCount;
    m_holdRefusedOrderCount = order.expectedOrderCount;
}

std::optional<bool> map_switch::decisionAt(pass_number pass) const
{
    const auto known = outcomeOf(pass);
    return known ? std::optional(known->committed) : std::nullopt;
}

std::optional<switch_id> map_switch::pendingSwitch() const
{
    if (!m_switch || decisionAt(m_switch->pass))
        return std::nullopt;
    return m_isInferred ? switch_id { m_switch->epoch, 0, m_switch->pass } : *m_switch;
}

void map_switch::observe(const rank_state& state)
{
    if (state.epoch != m_epoch)
        enterEpoch(state.epoch);
    if (m_usesSingleHold)
        inspectFirstReading(state);
}

std::optional<rank_order> map_switch::advance(instant now, const rank_state& state)
{
    observe(state);
    if (!state.heldPass)
        m_heldSince.reset();
    else if (!m_heldSince)
        m_heldSince = now;
    if (!m_usesSingleHold)
        adoptPreviousHold(state);
    clearSettledArm(state);
    if (auto replace = replaceUnsettledMapOrder(now, state))
        return replace;
    if (m_usesSingleHold && ((state.heldPass && !isOwnHold(state)) || (m_switch && m_holder)))
        return singleHoldOrder(now, state);
    if (state.heldPass) {
        if (const auto outcome = decisionAt(*state.heldPass))
            return orderAfterOutcome(now, state, *state.heldPass, *outcome);
    }
    if (mayReleaseDeclined(state))
        return orderAfterOutcome(now, state, *state.heldPass, false);
    if (m_switch)
        return switchOrder(now, state);
    return prepareOrder(now, state);
}

// Once the pass has begun or another map is prepared, the engine refuses any copy of the arm order.
void map_switch::clearSettledArm(const rank_state& state)
{
    if (!m_armSentPass)
        return;
    const bool isReplaced = state.armedPass != m_armSentPass && state.preparedVersion && *state.preparedVersion > m_armSentVersion;
    if (state.pass >= *m_armSentPass || isReplaced) {
        m_armSentPass.reset();
        m_replaceOrderedAt.reset();
    }
}

// With another map in place of the prepared one, the engine refuses late copies of the arm order.
std::optional<rank_order> map_switch::replacePreparedMapOrder(instant now, const rank_state& state)
{
    const bool isUnderWay = m_replaceOrderedAt && now - *m_replaceOrderedAt < replaceTimeout;
    if (!m_placeholderMap || isUnderWay)
        return std::nullopt;
    m_replaceOrderedAt = now;
    rank_order replace = makeOrder(state, rank_order_kind::Prepare);
    replace.version = nextMapVersion(std::max(state.preparedVersion.value_or(0), m_proposedVersion), *m_placeholderMap);
    replace.map = m_placeholderMap;
    return replace;
}

rank_order map_switch::makeOrder(const rank_state& state, rank_order_kind kind) const
{
    return { .kind = kind, .epoch = state.epoch, .expectedOrderCount = state.orderCount };
}

std::optional<rank_order> map_switch::orderAfterOutcome(instant now, const rank_state& state, pass_number pass, bool committed)
{
    if (!committed && state.armedVersion && state.armedPass == pass) {
        rank_order disarm = makeOrder(state, rank_order_kind::Disarm);
        disarm.version = *state.armedVersion;
        return disarm;
    }
    // The rank stays held until a reading shows the replacement map.
    if (!committed && m_armSentPass == pass)
        return replacePreparedMapOrder(now, state);
    rank_order release = makeOrder(state, rank_order_kind::Release);
    release.pass = pass;
    return release;
}

bool map_switch::hasDeclined(pass_number pass) const
{
    return std::find(m_declinedPasses.begin(), m_declinedPasses.end(), pass) != m_declinedPasses.end();
}

void map_switch::decline(pass_number pass)
{
    if (hasDeclined(pass))
        return;
    m_declinedPasses.push_back(pass);
    if (m_declinedPasses.size() > maxRememberedDeclines)
        m_declinedPasses.erase(m_declinedPasses.begin());
}

void map_switch::handleQuery(const switch_id& name, const rank_state& state)
{
    const pass_number pass = name.pass;
    if (m_isInferred && m_switch && m_switch->pass == pass && name.version != 0) {
        m_switch = name;
        m_isInferred = false;
    }
    // Before a restart this agent may have armed the rank and released it on an outcome that it no longer knows.
    const bool isArmed = state.armedPass && *state.armedPass <= pass;
    const bool isWithdrawable = m_holder && m_armSentPass != pass;
    const bool takesPart = isArmed || (m_switch && m_switch->pass == pass && !isWithdrawable) || m_armSentPass == pass || m_unsettledVersion;
    if (!takesPart && state.pass < pass && (m_usesSingleHold ? decisionAt(pass) != true : !decisionAt(pass)))
        decline(pass);
}

std::optional<switch_outcome> map_switch::outcomeOf(pass_number pass) const
{
    const auto found = std::find_if(m_outcomes.begin(), m_outcomes.end(), [pass](const auto& known) { return known.name.pass == pass; });
    return found == m_outcomes.end() ? std::nullopt : std::optional(*found);
}

// A decline by this rank aborts the switch, so no outcome is needed, provided that no arm order can still be carried out.
bool map_switch::mayReleaseDeclined(const rank_state& state) const
{
    return state.heldPass && hasDeclined(*state.heldPass) && state.armedPass != state.heldPass
        && m_armSentPass != state.heldPass;
}

std::optional<rank_order> map_switch::switchOrder(instant now, const rank_state& state)
{
    const switch_id& name = *m_switch;
    if (const auto outcome = decisionAt(name.pass)) {
        // After an abort, a rank that is armed but no longer held would switch alone at the pass, so it is disarmed.
        if (!*outcome && m_usesSingleHold && !state.heldPass)
            return undoArmOrder(now, state);
        if (!*outcome && state.armedPass == name.pass)
            return orderAfterOutcome(now, state, name.pass, false);
        if (!state.heldPass)
            m_switch.reset();
        return std::nullopt;
    }
    // The rank is committed to the pass that it is armed for; arming it again would undo that.
    if (state.armedVersion && state.armedPass != name.pass)
        decline(name.pass);
    if (hasDeclined(name.pass)) {
        if (!state.heldPass && !m_armSentPass)
            m_switch.reset();
        return std::nullopt;
    }
    if (state.heldPass != name.pass) {
        if (state.pass >= name.pass || m_holdRefused) {
            decline(name.pass);
            return std::nullopt;
        }
        rank_order hold = makeOrder(state, rank_order_kind::Hold);
        hold.pass = name.pass;
        m_holdOrderedPass = name.pass;
        return hold;
    }
    if (state.armedPass == name.pass || m_isInferred)
        return std::nullopt;
    return armOrder(state);
}

std::optional<rank_order> map_switch::armOrder(const rank_state& state)
{
    const switch_id& name = *m_switch;
    if (state.preparedVersion != name.version) {
        // The engine refuses to arm a map that is not prepared, so no arm order can succeed.
        m_armSentPass.reset();
        decline(name.pass);
        return std::nullopt;
    }
    rank_order arm = makeOrder(state, rank_order_kind::Arm);
    arm.version = name.version;
    arm.pass = name.pass;
    m_armSentPass = name.pass;
    m_armSentVersion = name.version;
    return arm;
}

bool map_switch::isUnderWay(const rank_state& state) const
{
    const bool isPreparing = m_prepareOrderedAt && m_proposedVersion > m_refusedVersion && state.mapVersion < m_proposedVersion;
    return isPreparing || m_switch || state.heldPass || state.armedPass;
}

std::optional<rank_order> map_switch::prepareOrder(instant now, const rank_state& state)
{
    const bool needsPreparing = m_proposedMap && m_proposedVersion > state.mapVersion && m_proposedVersion > state.preparedVersion.value_or(0);
    if (!needsPreparing || m_proposedVersion <= m_refusedVersion || state.isBusy || state.armedVersion || !state.groupOpen)
        return std::nullopt;
    const bool begun = m_prepareOrderedAt && state.orderCount > m_prepareExpectedCount;
    if (m_prepareOrderedAt && now - *m_prepareOrderedAt < (begun ? copyTimeout : unansweredTimeout))
        return std::nullopt;
    m_prepareOrderedAt = now;
    m_prepareExpectedCount = state.orderCount;
    rank_order prepare = makeOrder(state, rank_order_kind::Prepare);
    prepare.version = m_proposedVersion;
    prepare.map = m_proposedMap;
    return prepare;
}

} // namespace appleramp
