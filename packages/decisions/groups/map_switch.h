#pragma once

#include "decisions/groups/group_messages.h"
#include "decisions/groups/rank_state.h"
#include "model/time.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace appleramp {

// The part of one rank in the map switches of its group: a two-phase commit without a durable coordinator.
//
// The rank holds the group before the pass, arms the map for it, and is released only on a final outcome: committed, when
// every rank was read back as armed with the same map, or aborted, when some rank will never arm. So no pass begins
// with two maps whichever process fails, and safety does not depend on a coordinator. Every step is decided from a
// reading of the engine. Each order carries the expected count of orders begun, so that a delayed copy has no effect.
class map_switch {
public:
    // Takes a new reading of the engine. Returns the order that is due, if any.
    std::optional<rank_order> advance(instant now, const rank_state& state);

    void propose(const map_proposal& proposal);
    // Applies the changes to the map that they are based on. Ignored if that map is not known.
    void propose(const map_changes& changes, std::size_t experts, std::size_t sets, std::size_t ranks);
    // Sets the map that the group starts with, version 0.
    void setInitialMap(const group_map& map);
    // Sets a map under which this rank keeps the experts that it holds now. It replaces a prepared map after an abort.
    void setPlaceholderMap(std::shared_ptr<const group_map> map) { m_placeholderMap = std::move(map); }
    void request(const switch_request& request);
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

    std::optional<switch_id> m_switch;
    // The switch was inferred from a hold that this agent ordered before a restart, so its map is not known for certain.
    bool m_isInferred = false;
    // The pass of an arm order that was sent. Copies of it may still be carried out until the pass begins or the prepared map
    // is replaced.
    std::optional<pass_number> m_armSentPass;
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
