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

// One rank's part in switches of its group's map.
//
// The rank holds the group before the pass, arms the map for it, and lets go only on a final outcome: committed, when
// every rank was read back as armed with the same map, or aborted, when some rank will never arm. So no pass begins
// with two maps whoever fails, and no coordinator is needed for safety. Every step is decided from a reading of the
// engine; orders carry the count of orders begun, so that copies which are carried out late do nothing.
class map_switch {
public:
    // A fresh reading. Returns the order that is due, if any.
    std::optional<rank_order> advance(instant now, const rank_state& state);

    void propose(const map_proposal& proposal);
    // Ignored if the map that it is based on is not known.
    void propose(const map_changes& changes, std::size_t experts, std::size_t sets, std::size_t ranks);
    // The map that a group starts with.
    void noteFirstMap(const group_map& map);
    // A map under which this rank holds what it holds now.
    void notePlaceholder(std::shared_ptr<const group_map> map) { m_placeholder = std::move(map); }
    void request(const switch_request& request);
    void conclude(const switch_outcome& outcome);
    // Another rank waits at that pass: a rank that takes no part there never will.
    void answerQuery(const switch_name& name, const rank_state& state);
    std::optional<switch_outcome> outcomeOf(pass_number pass) const;
    // The engine said that the order does not fit.
    void noteRefused(const rank_order& order);

    // The latest passes at which this rank will never switch.
    const std::vector<pass_number>& declinedPasses() const { return m_declined; }
    bool hasDeclined(pass_number pass) const;
    map_number proposedVersion() const { return m_proposedVersion; }
    const std::shared_ptr<const group_map>& proposedMap() const { return m_map; }
    // The switch that waits for its outcome, with map number 0 if that is not known, and since when the rank has been held for it.
    std::optional<switch_name> waiting() const;
    std::optional<instant> heldSince() const { return m_heldSince; }
    // A map is being prepared or brought into force.
    bool isUnderWay(const rank_state& state) const;

private:
    void enterEpoch(group_epoch epoch);
    void adoptForeignHold(const rank_state& state);
    std::optional<bool> outcomeAt(pass_number pass) const;
    std::optional<rank_order> prepareOrder(instant now, const rank_state& state);
    std::optional<rank_order> switchOrder(instant now, const rank_state& state);
    std::optional<rank_order> concludedOrder(instant now, const rank_state& state, pass_number pass, bool committed);
    std::optional<rank_order> armOrder(const rank_state& state);
    std::optional<rank_order> replaceOrder(instant now, const rank_state& state);
    void noteSettledArm(const rank_state& state);
    void decline(pass_number pass);
    bool mayLetGo(const rank_state& state) const;
    rank_order order(const rank_state& state, rank_order_kind kind) const;

    group_epoch m_epoch = 0;
    std::shared_ptr<const group_map> m_map;
    // Maps of this epoch by their numbers, the one in force among them; only the latest few.
    std::map<map_number, std::shared_ptr<const group_map>> m_known;
    map_number m_proposedVersion = 0;
    map_number m_refusedVersion = 0;
    // When the proposed map was last ordered to be prepared; copying takes its time and shows only at its end.
    std::optional<instant> m_prepareOrderedAt;
    // The count of orders that it expected: a higher one shows that the engine has begun it.
    std::uint64_t m_prepareExpected = 0;

    std::optional<switch_name> m_switch;
    // Only the hold of an earlier life tells of the switch: its map is not known for certain.
    bool m_isGuessed = false;
    // Copies of an arm order for this pass may still be carried out, until the pass begins or the map is replaced.
    std::optional<pass_number> m_armSent;
    std::vector<pass_number> m_declined;
    // The order count that a refused hold expected: refused twice at the same count, it does not fit.
    std::optional<std::uint64_t> m_holdRefusedAt;
    bool m_holdRefused = false;
    // The pass of the latest hold that this life of the agent ordered.
    std::optional<pass_number> m_holdOrdered;
    std::shared_ptr<const group_map> m_placeholder;
    // When the prepared map was last ordered to be replaced.
    std::optional<instant> m_replaceOrderedAt;
    std::optional<instant> m_heldSince;
    // Final outcomes of this epoch, the latest last.
    std::deque<switch_outcome> m_outcomes;
};

} // namespace appleramp
