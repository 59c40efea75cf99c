#pragma once

#include "decisions/groups/expert_popularity.h"
#include "decisions/groups/hold_keeper.h"
#include "decisions/groups/map_switch.h"
#include "decisions/groups/switch_coordinator.h"
#include "model/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace appleramp {

// Events that an agent handles. Each agent runs beside the engine of one rank.

// A reading of the state of this rank's engine.
struct rank_state_read {
    instant now;
    rank_state state;
};
// The experts that the engine lists for this rank: by the map in force, and by the prepared map if there is one.
struct expert_lists_read {
    instant now;
    group_epoch epoch = 0;
    group_map_version mapVersion = 0;
    std::vector<std::vector<expert_number>> experts;
    std::optional<group_map_version> preparedVersion;
    std::vector<std::vector<expert_number>> preparedExperts;
};
// The engine's running totals of how often each expert was chosen, by set and expert.
struct choice_totals_read {
    instant now;
    std::vector<std::uint32_t> totals;
};
// The engine refused an order that does not fit its state.
struct rank_order_refused {
    instant now;
    rank_order order;
};
// A message from another agent of the group.
struct group_message_received {
    instant now;
    group_message message;
};
// A reading of another rank's engine over the network, taken because that rank's agent is silent.
struct silent_rank_read {
    instant now;
    rank_state state;
};
// A timer tick: drives heartbeats, status reports and timeouts.
struct group_tick {
    instant now;
};

using group_event = std::variant<rank_state_read, expert_lists_read, choice_totals_read, rank_order_refused, group_message_received, silent_rank_read,
    group_tick>;

// Effects that the process carries out for the agent.

// Send the order to this rank's engine.
struct send_order {
    rank_order order;
};
// Read the expert lists of the engine; the answer comes as expert_lists_read.
struct read_expert_lists { };
// Read the state of this rank's engine at once, and often.
struct read_rank_state { };
// A log event.
struct group_log_event {
    std::string what;
    std::string detail;
};

using group_effect = std::variant<send_order, read_expert_lists, read_rank_state, outgoing_message, read_silent_rank, send_silent_rank_order, group_log_event>;
using group_effects = std::vector<group_effect>;

// The reducer of the agent beside one rank: takes that rank's engine through the map switches of its group and, if it
// leads, plans and coordinates them for all ranks.
//
// The agent of the lowest rank that still sends heartbeats leads. Leadership needs no lease: two coordinators at once are
// safe, because a rank releases a pass only on the final outcome of its switch.
class group_agent {
public:
    group_agent(coordinator_limits limits, std::string zone);

    // Whether this agent takes part in switches with a single hold; see hold_keeper.
    void setSingleHold(bool uses);
    void setLimits(coordinator_limits limits) { m_coordinator.setLimits(std::move(limits)); }
    group_effects handle(const group_event& event);

    // Whether this agent coordinates the group at present.
    // Whether this rank is among those that report their expert choices.
    bool reportsChoices() const;
    bool isLeader() const { return m_leads; }
    // Whether a map is being prepared, or a switch to it is under way, at this rank.
    bool isSwitching() const { return m_state && m_switch.isUnderWay(*m_state); }
    const std::optional<rank_state>& state() const { return m_state; }
    // Adds the state of an agent that does not lead. Times are left out.
    void addTo(state_fingerprint& print) const;

private:
    void on(const rank_state_read& event);
    void on(const expert_lists_read& event);
    void on(const choice_totals_read& event);
    void on(const rank_order_refused& event);
    void on(const group_message_received& event);
    void on(const silent_rank_read& event);
    void on(const group_tick& event);

    void onMessage(instant now, const coordinator_heartbeat& message);
    void onMessage(instant now, const rank_status& message);
    void onMessage(instant now, const expert_choice_counts& message);
    void onMessage(instant now, const map_proposal& message);
    void onMessage(instant now, const map_changes& message);
    void applyProposedChanges(const map_changes& changes);
    void onMessage(instant now, const switch_request& message);
    void onMessage(instant now, const switch_outcome& message);
    void onMessage(instant now, const status_query& message);
    void onMessage(instant now, const status_request& message);
    void onMessage(instant now, const arm_readiness_request& message);
    void onMessage(instant now, const arm_readiness& message);
    void onMessage(instant now, const arm_permission& message);
    // Runs the part of the holder's agent in a switch with a single hold.
    void runHoldKeeper(instant now);
    void noteHolder(const switch_request& request);
    // Sends the status without the experts to the holder of the switch.
    void reportToHolder(const rank_status& reported);
    // Applies a message of this agent's own to this rank, and sends it to the others.
    void sendAndApply(instant now, outgoing_message message);

    // Issues a due order, reports the status and runs the coordinator.
    void advance(instant now);
    // Issues the order that is due now, unless one is still waiting for the next reading of the engine.
    void issueDueOrder(instant now);
    // Sends this rank's status to the leader if it changed significantly or is due, and to `requester` in any case.
    void reportStatus(instant now, std::optional<std::uint32_t> requester = {});
    // Takes or gives up leadership by the heartbeats of lower ranks, and sends heartbeats while leading.
    void updateLeadership(instant now);
    // As the leader, takes over a switch for which this rank has been held too long without an outcome.
    void adoptBlockedSwitch(instant now);
    // Advances the coordinator, sends its messages and applies those that concern this rank too.
    void runCoordinator(instant now);
    rank_status status() const;
    // Whether the expert lists belong to the latest reading of the engine.
    bool expertListsAreCurrent() const;
    void updatePlaceholderMap();
    // Keeps the map that was in force if the reading shows a new epoch.
    void keepPreviousMap(const rank_state& next);

    std::string m_zone;
    map_switch m_switch;
    switch_coordinator m_coordinator;
    hold_keeper m_holdKeeper;
    bool m_usesSingleHold = false;
    choice_counter m_choices;
    std::optional<rank_state> m_state;
    expert_lists_read m_expertLists;
    bool m_hasExpertLists = false;
    // Number of choice totals that the engine keeps: sets times experts.
    std::size_t m_choiceCountsSize = 0;

    bool m_leads = false;
    std::uint32_t m_leaderRank = 0;
    std::string m_leaderZone;
    instant m_leaderHeardAt;
    instant m_startedAt;
    instant m_heartbeatSentAt;
    instant m_statusReportedAt;
    rank_status m_lastReportedStatus;
    bool m_statusDue = false;
    // An order was issued and the engine has not been read since.
    bool m_isOrderPending = false;
    // The local coordinator has sent a message that concerns this rank.
    bool m_hasSelfMessage = false;
    group_effects m_effects;
};

} // namespace appleramp
