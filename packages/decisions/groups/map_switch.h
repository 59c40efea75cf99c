#pragma once

#include "decisions/groups/group_messages.h"
#include "decisions/groups/rank_state.h"
#include "decisions/groups/state_fingerprint.h"
#include "model/time.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace appleramp {

// A switch with a single hold takes place at most this many passes ahead, which bounds how long an order of an earlier
// process can matter. A switch is requested 0.9 s ahead at most, and passes take 10 ms or longer.
constexpr pass_number singleHoldHorizon = 128;

// The part of one rank in the map switches of its group: a two-phase commit without a durable coordinator.
//
// The rank holds the group before the pass, arms the map for it, and is released only on a final outcome: committed, when
// every rank was read back as armed with the same map, or aborted, when some rank will never arm. So no pass begins
// with two maps whichever process fails, and safety does not depend on a coordinator. Every step is decided from a
// reading of the engine. Each order carries the expected count of orders begun; where engines do not count orders, a delayed copy
// is made void by epoch, pass and version. With a single hold another rank is held in place of this one; see hold_keeper.
class map_switch {
public:
    // Takes a new reading of the engine, before anything else is decided on it.
    void observe(const rank_state& state);
    // Returns the order that is due after that reading, if any.
    std::optional<rank_order> advance(instant now, const rank_state& state);

    void propose(const map_proposal& proposal);
    // Applies the changes to the map that they are based on. Ignored if that map is not known.
    void propose(const map_changes& changes, std::size_t experts, std::size_t sets, std::size_t ranks);
    // Sets the map that the group starts with, version 0.
    void setInitialMap(const group_map& map);
    // Sets a map under which this rank keeps the experts that it holds now. It replaces a prepared map after an abort.
    void setPlaceholderMap(std::shared_ptr<const group_map> map) { m_placeholderMap = std::move(map); }
    void request(const switch_request& request);

    // Switches with a single hold: the rank arms without a hold of its own, once the agent of the held rank permits it.

    void setSingleHold(bool uses) { m_usesSingleHold = uses; }
    // Whether this agent takes part in them. A restarted agent does not until every pass has begun that its predecessor may
    // have been asked about, so that what the predecessor declined stays declined.
    bool mayUseSingleHold(const rank_state& state) const { return m_usesSingleHold && m_hasFirstReading && state.epoch == m_epoch && state.pass >= m_barredUntil; }
    std::optional<pass_number> singleHoldFromPass() const { return m_usesSingleHold && m_hasFirstReading ? std::optional(m_barredUntil) : std::nullopt; }
    // Whether the rank can arm for that switch as soon as it is permitted.
    bool isReady(const arm_readiness_request& request, const rank_state& state);
    void permit(const arm_permission& permission);
    // Declines the pass unless the rank may be armed for it. Returns whether it is declined.
    bool withdraw(pass_number pass, const rank_state& state);
    // The hold before that pass protects no arm order any more, so the rank may be released.
    void allowRelease(std::optional<pass_number> pass) { m_releasablePass = pass; }
    // Whether the rank is held by an order of this process.
    bool isOwnHold(const rank_state& state) const { return state.heldPass && m_holdOrderedPass == state.heldPass; }
    // The held rank of the single-hold switch that the rank takes part in.
    std::optional<std::uint32_t> holder() const { return m_switch ? m_holder : std::nullopt; }
    std::optional<pass_number> unsettledArmPass() const { return m_unsettledVersion ? std::optional<pass_number>(0) : m_armSentPass; }
    void recordOutcome(const switch_outcome& outcome);
    // Another rank is held at that pass. Declines the pass for good if this rank takes no part in a switch there.
    void handleQuery(const switch_id& name, const rank_state& state);
    std::optional<switch_outcome> outcomeOf(pass_number pass) const;
    // The engine refused the order because it does not fit the state of the engine.
    void recordRefusal(const rank_order& order);

    // The latest passes at which this rank will never switch.
    const std::vector<pass_number>& declinedPasses() const { return m_declinedPasses; }
    bool hasDeclined(pass_number pass) const;
    // The map of that version; null if it is not known.
    std::shared_ptr<const group_map> knownMap(group_map_version version) const;
    group_map_version proposedVersion() const { return m_proposedVersion; }
    const std::shared_ptr<const group_map>& proposedMap() const { return m_proposedMap; }
    // The switch without an outcome yet, if any. Its version is 0 if the map is not known for certain.
    std::optional<switch_id> pendingSwitch() const;
    // Since when the rank has been held.
    std::optional<instant> heldSince() const { return m_heldSince; }
    // Whether a map is being prepared, or a switch is under way.
    bool isUnderWay(const rank_state& state) const;

    void addTo(state_fingerprint& print) const;

private:
    void enterEpoch(group_epoch epoch);
    void adoptPreviousHold(const rank_state& state);
    // Whether the switch at that pass was committed; empty while its outcome is not known.
    std::optional<bool> decisionAt(pass_number pass) const;
    std::optional<rank_order> prepareOrder(instant now, const rank_state& state);
    std::optional<rank_order> switchOrder(instant now, const rank_state& state);
    // The order that releases the rank on a known outcome. After an abort, the arm order is undone or made void first.
    std::optional<rank_order> orderAfterOutcome(instant now, const rank_state& state, pass_number pass, bool committed);
    std::optional<rank_order> armOrder(const rank_state& state);
    std::optional<rank_order> replacePreparedMapOrder(instant now, const rank_state& state);
    // Forgets the arm order once no copy of it can be carried out any more.
    void clearSettledArm(const rank_state& state);
    void decline(pass_number pass);
    // Whether the rank is held for a pass that it has declined and can be released without an outcome.
    bool mayReleaseDeclined(const rank_state& state) const;
    rank_order makeOrder(const rank_state& state, rank_order_kind kind) const;
    // After a start: takes over what the engine shows of the predecessor's switch.
    void inspectFirstReading(const rank_state& state);
    std::optional<rank_order> replaceUnsettledMapOrder(instant now, const rank_state& state);
    // The order that is due in a switch with a single hold.
    std::optional<rank_order> singleHoldOrder(instant now, const rank_state& state);
    // Undoes the arm order of an aborted switch, or makes it void, and then declines the pass.
    std::optional<rank_order> undoArmOrder(instant now, const rank_state& state);
    bool isReleasable(const rank_state& state) const;
    // Whether an arm order for the pass may have been or may still be carried out.
    bool mayBeArmed(pass_number pass, const rank_state& state) const;

    group_epoch m_epoch = 0;
    std::shared_ptr<const group_map> m_proposedMap;
    // The latest few maps of this epoch by version, including the one in force.
    std::map<group_map_version, std::shared_ptr<const group_map>> m_knownMaps;
    group_map_version m_proposedVersion = 0;
    group_map_version m_refusedVersion = 0;
    // When the last order to prepare the proposed map was issued. The engine shows the prepared map only when all copies are
    // complete.
    std::optional<instant> m_prepareOrderedAt;
    // The order count that this order expected; a higher count in a reading shows that the engine has begun it.
    std::uint64_t m_prepareExpectedCount = 0;

    bool m_usesSingleHold = false;
    bool m_hasFirstReading = false;
    pass_number m_barredUntil = 0;
    // The map that the predecessor of this process had prepared, and may have ordered to be armed.
    std::optional<group_map_version> m_unsettledVersion;
    std::optional<std::uint32_t> m_holder;
    // This process answered that the rank can arm for m_switch.
    bool m_isReady = false;
    bool m_isPermitted = false;
    std::optional<pass_number> m_releasablePass;

    std::optional<switch_id> m_switch;
    // The switch was inferred from a hold that this agent ordered before a restart, so its map is not known for certain.
    bool m_isInferred = false;
    // The pass of an arm order that was sent. Copies of it may still be carried out until the pass begins or the prepared map
    // is replaced.
    std::optional<pass_number> m_armSentPass;
    group_map_version m_armSentVersion = 0;
    std::vector<pass_number> m_declinedPasses;
    // The order count that a refused hold expected. A second refusal at the same count means that the hold itself does not
    // fit, rather than that another order was begun in between.
    std::optional<std::uint64_t> m_holdRefusedOrderCount;
    bool m_holdRefused = false;
    // The pass of the latest hold that was ordered since this agent started.
    std::optional<pass_number> m_holdOrderedPass;
    std::shared_ptr<const group_map> m_placeholderMap;
    // When the last order to replace the prepared map was issued.
    std::optional<instant> m_replaceOrderedAt;
    std::optional<instant> m_heldSince;
    // Final outcomes of this epoch, oldest first.
    std::deque<switch_outcome> m_outcomes;
};

} // namespace appleramp
