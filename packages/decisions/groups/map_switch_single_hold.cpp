#include "decisions/groups/map_switch.h"

#include <set>

// The part of a rank in a switch with a single hold.

namespace appleramp {

// Orders that the predecessor sent may be carried out any time later. A map that it had prepared may be armed, so it is
// replaced, and an arm that is in place stays until the outcome is known.
void map_switch::inspectFirstReading(const rank_state& state)
{
    if (!m_hasFirstReading) {
        m_hasFirstReading = true;
        m_barredUntil = state.pass + singleHoldHorizon;
        m_unsettledVersion = state.armedVersion ? state.armedVersion : state.preparedVersion;
    }
    if (!m_unsettledVersion)
        return;
    if (state.armedVersion == m_unsettledVersion) {
        m_switch = switch_id { state.epoch, *state.armedVersion, *state.armedPass };
        m_holder = state.rank;
        m_isReady = false;
        m_isPermitted = false;
        m_armSentPass = state.armedPass;
        m_armSentVersion = *state.armedVersion;
        m_unsettledVersion.reset();
    } else if (state.preparedVersion != m_unsettledVersion) {
        m_unsettledVersion.reset();
        m_replaceOrderedAt.reset();
    }
}

std::optional<rank_order> map_switch::replaceUnsettledMapOrder(instant now, const rank_state& state)
{
    return m_unsettledVersion ? replacePreparedMapOrder(now, state) : std::nullopt;
}

bool map_switch::mayBeArmed(pass_number pass, const rank_state& state) const
{
    return state.armedPass == pass || m_armSentPass == pass || m_unsettledVersion;
}

bool map_switch::isReady(const arm_readiness_request& request, const rank_state& state)
{
    if (request.name.epoch != m_epoch || !mayUseSingleHold(state))
        return false;
    this->request({ request.name, request.holder });
    const bool isReadyNow = m_switch == request.name && m_holder == request.holder && !decisionAt(request.name.pass) && !hasDeclined(request.name.pass)
        && state.pass < request.name.pass && state.preparedVersion == request.name.version && !m_unsettledVersion
        && (!state.armedVersion || state.armedPass == request.name.pass);
    // The answer to another holder does not take back an earlier one.
    m_isReady = m_isReady || isReadyNow;
    return isReadyNow;
}

void map_switch::permit(const arm_permission& permission)
{
    const bool isAsked = m_switch == permission.name && m_holder == permission.holder;
    m_isPermitted = m_isPermitted || (isAsked && m_isReady);
}

bool map_switch::withdraw(pass_number pass, const rank_state& state)
{
    if (!mayBeArmed(pass, state))
        decline(pass);
    return hasDeclined(pass);
}

// A hold of an earlier switch without a single hold protects only this rank.
bool map_switch::isReleasable(const rank_state& state) const
{
    if (!state.heldPass)
        return false;
    const pass_number pass = *state.heldPass;
    if (decisionAt(pass) == true)
        return true;
    if (!isOwnHold(state))
        return m_releasablePass == pass;
    return (decisionAt(pass) || hasDeclined(pass)) && !mayBeArmed(pass, state);
}

std::optional<rank_order> map_switch::singleHoldOrder(instant now, const rank_state& state)
{
    if (isReleasable(state)) {
        rank_order release = makeOrder(state, rank_order_kind::Release);
        release.pass = *state.heldPass;
        return release;
    }
    // Without a hold of its own for that switch, the rank can't take part in it.
    if (m_switch && !m_holder && state.heldPass == m_switch->pass && withdraw(m_switch->pass, state))
        m_switch.reset();
    if (!m_switch || !m_holder)
        return std::nullopt;
    const pass_number pass = m_switch->pass;
    if (const auto outcome = decisionAt(pass)) {
        if (!*outcome)
            return undoArmOrder(now, state);
        m_switch.reset();
        return std::nullopt;
    }
    if (state.armedPass == pass)
        return std::nullopt;
    // The rank is committed to the pass that it is armed for; arming it again would undo that.
    if (state.armedVersion || state.pass >= pass)
        withdraw(pass, state);
    if (hasDeclined(pass)) {
        if (!mayBeArmed(pass, state))
            m_switch.reset();
        return std::nullopt;
    }
    return m_isPermitted ? armOrder(state) : std::nullopt;
}

void map_switch::addTo(state_fingerprint& print) const
{
    for (const std::uint64_t number : { m_epoch, m_armSentPass ? m_armSentVersion : 0, m_proposedVersion, m_refusedVersion, m_barredUntil })
        print.add(number);
    for (const bool flag : { m_isInferred, m_holdRefused, m_hasFirstReading, m_isReady, m_isPermitted, m_replaceOrderedAt.has_value(), m_prepareOrderedAt.has_value() })
        print.add(static_cast<std::uint64_t>(flag));
    print.add(m_switch ? std::optional(m_switch->version) : std::nullopt);
    print.add(m_switch ? std::optional(m_switch->pass) : std::nullopt);
    for (const auto& number : { m_armSentPass, m_holdOrderedPass, m_unsettledVersion, m_releasablePass, m_holdRefusedOrderCount })
        print.add(number);
    print.add(m_holder ? std::optional<std::uint64_t>(*m_holder) : std::nullopt);
    print.addAll(m_declinedPasses, [](state_fingerprint& to, pass_number pass) { to.add(pass); });
    // Their order does not matter.
    std::set<std::uint64_t> outcomes;
    for (const switch_outcome& outcome : m_outcomes)
        outcomes.insert(outcome.name.pass * 2 + (outcome.committed ? 1 : 0));
    print.addAll(outcomes, [](state_fingerprint& to, std::uint64_t outcome) { to.add(outcome); });
}

std::optional<rank_order> map_switch::undoArmOrder(instant now, const rank_state& state)
{
    if (state.armedVersion && state.armedPass == m_switch->pass) {
        rank_order disarm = makeOrder(state, rank_order_kind::Disarm);
        disarm.version = *state.armedVersion;
        return disarm;
    }
    if (m_armSentPass == m_switch->pass)
        return replacePreparedMapOrder(now, state);
    if (state.pass < m_switch->pass)
        decline(m_switch->pass);
    m_switch.reset();
    return std::nullopt;
}

} // namespace appleramp
