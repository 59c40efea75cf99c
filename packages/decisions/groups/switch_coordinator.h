#pragma once

#include "decisions/groups/expert_popularity.h"
#include "decisions/groups/group_map_planner.h"
#include "decisions/groups/group_messages.h"
#include "decisions/groups/rank_state.h"
#include "model/time.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace appleramp {

// Agents of ranks below this number know the addresses of the other agents, and can send to all of them.
constexpr std::uint32_t coordinatorCandidates = 4;

struct coordinator_limits {
    planning_limits planning;
    // Relative reduction of the imbalance from which a new map is worth its copies.
    double minRelativeGain = 0.06;
    // From this imbalance on, the next map is limited to few copies, so that it comes into force sooner.
    double urgentImbalance = 1.6;
    // Time to copy one expert; a rank copies them one after the other.
    duration copyTime = std::chrono::milliseconds(100);
    // Time that the copies of one map may take on a rank, for an urgent map and for any other.
    duration urgentCopyBudget = std::chrono::milliseconds(240);
    duration normalCopyBudget = std::chrono::milliseconds(680);
    // Number of recent expert choices that are needed to plan a map.
    double minChoices = 20000;
};

// A message for one rank, or for all agents of the group.
struct outgoing_message {
    std::optional<std::uint32_t> rank;
    group_message message;
};

// Requests a reading of the engine of a rank whose agent is silent. The reading may be some hundred milliseconds old.
struct read_silent_rank {
    std::uint32_t rank = 0;
};

// Sends an order to the engine of a rank whose agent is silent.
struct send_silent_rank_order {
    std::uint32_t rank = 0;
    rank_order order;
};

using silent_rank_action = std::variant<read_silent_rank, send_silent_rank_order>;

struct coordinator_log_event {
    std::string what;
    std::string detail;
};

// Plans the maps of a group and brings them into force one after the other. Also concludes switches whose coordinator
// failed.
//
// All decisions follow from the statuses that the agents report. A rank that is armed or has declined stays so until the
// outcome of the switch is sent, so two coordinators at the same time can only slow each other down.
class switch_coordinator {
public:
    explicit switch_coordinator(coordinator_limits limits)
        : m_limits(std::move(limits))
    {
    }

    void setLimits(coordinator_limits limits) { m_limits = std::move(limits); }
    // Whether switches have a single hold if every rank's agent knows it; see hold_keeper.
    void setSingleHold(bool uses) { m_usesSingleHold = uses; }
    void recordStatus(instant now, const rank_status& status);
    void recordChoices(instant now, const expert_choice_counts& choices);
    // Another agent sent the outcome of a switch.
    void recordOutcome(instant now, const switch_outcome& outcome);
    // Takes over a switch that another coordinator began. `fallbackMap`, if given, is a map that every rank can prepare in place
    // of the one that is being switched to.
    void adopt(instant now, const switch_id& name, std::uint32_t ranks, std::shared_ptr<const group_map> fallbackMap);

    // Sets the map that was in force in the epoch that ended. It is proposed as soon as all ranks report in the new epoch, as the
    // group would otherwise keep the initial map until new choices are counted.
    void setPreviousMap(std::shared_ptr<const group_map> map) { m_previousMap = std::move(map); }

    // Returns the messages that are due now. Only a leading coordinator proposes new maps.
    std::vector<outgoing_message> advance(instant now, bool leads, std::uint32_t ownRank);
    std::vector<coordinator_log_event> takeLogEvents();
    // Returns the readings and orders that are due at the engines of other ranks: the order to hold the holder of a switch with
    // a single hold, and those for ranks whose agents were killed, frozen or cut off in the middle of a switch. The latter are
    // limited to orders that can't conflict with such an agent when it resumes: the rank is made unable to arm, or it is
    // disarmed or released according to the outcome.
    std::vector<silent_rank_action> takeSilentRankActions();
    // A reading of the engine of a rank whose agent is silent.
    void recordSilentRankState(instant now, const rank_state& state);
    // Whether this coordinator is collecting or sending the outcome of that switch.
    bool isHandling(const switch_id& name) const;

private:
    enum class phase {
        Idle,
        Preparing,
        Switching,
        // The outcome is known and is resent until every rank is released.
        Concluding,
    };
    struct known_status {
        rank_status status;
        instant receivedAt;
        // When a reading of the engine was last requested because the agent is silent.
        instant readRequestedAt;
    };

    // Grows with the time in the phase, so that messages without effect are sent less and less often.
    duration resendInterval(instant now) const;
    // Whether every rank has reported recently and all agree on epoch and map.
    bool isComplete(instant now) const;
    bool noRankHeldOrArmed() const;
    group_map currentMap() const;
    // By rank, as the ranks report them; slowdowns within the usual variation count as 1.
    std::vector<double> slowdownFactors() const;
    group_map_version highestVersion() const;
    // Updates the estimate of the pass time when a status shows a new pass.
    void updatePassTiming(instant now, const rank_status& status);
    // The pass at which the next switch takes place: far enough ahead for every rank to be held and armed before it.
    pass_number chooseSwitchPass(instant now) const;
    void planNext(instant now, std::vector<outgoing_message>& out);
    // Proposes the map of the previous epoch if the group has the initial map. Returns whether it did.
    bool proposePreviousMap(instant now, std::vector<outgoing_message>& out);
    // Sends the proposal until every rank has prepared the map, and then begins the switch.
    void awaitPrepared(instant now, std::vector<outgoing_message>& out);
    // Finds out from the statuses which map an adopted switch is for.
    void inferMapVersion();
    void beginSwitch(instant now, std::vector<outgoing_message>& out);
    // Commits the switch when every rank is armed, and aborts it when one never will be.
    void awaitArmed(instant now, std::vector<outgoing_message>& out);
    void conclude(instant now, bool committed, std::vector<outgoing_message>& out);
    // Adjusts the lead time to the time that a committed switch took.
    void updateLeadTime(duration taken);
    void broadcastOutcome(instant now, std::vector<outgoing_message>& out);
    bool allReportedSince(instant then) const;
    bool hasPrepared(const rank_status& status) const;
    bool isArmed(const rank_status& status) const;
    // Whether ranks are armed for the pass of the switch with different maps.
    bool hasConflictingArms() const;
    bool hasDeclined(const rank_status& status) const;
    bool isReleased(const rank_status& status) const;
    // The first pass, from the given one on, that a switch of this coordinator with a single hold may take place at.
    pass_number chooseSingleHoldPass(pass_number earliest) const;
    // The rank to hold in a switch with a single hold, whose pass is then adjusted; none if some agent does not know it.
    std::optional<std::uint32_t> chooseHolder();
    // Gives the single hold, again if the holder has not reported it.
    void orderSingleHold();
    // Whether a hold of an aborted switch protects no arm order any more.
    bool mayReleaseAborted() const;
    void enterPhase(instant now, phase next);
    // Sent to all ranks at first, and later to those in `unaware`, which have not reported that they received it.
    void sendProposal(std::span<const std::uint32_t> unaware, std::vector<outgoing_message>& out);
    void propose(const group_map& current, group_map_plan plan);
    void logEvent(std::string what, std::string detail);
    // Requests readings of the engines whose agents are silent during a switch.
    void readSilentRanks(instant now, bool leads);
    // Whether no order to arm the rank for the switch can succeed any more, by a reading of its engine.
    bool isMapReplaced(const rank_state& state) const;
    // The order, if any, that a silent rank needs in the present phase.
    std::optional<rank_order> orderForSilentRank(const rank_state& state);
    // An order that replaces the prepared map of a silent rank, so that it can no longer be armed.
    rank_order replacePreparedMapOrder(const rank_state& state);
    // Adopts a switch for which a rank has been held for some time while no switch is under way here.
    void adoptStrandedSwitch(instant now);
    // Adds the ranks that have never reported here as silent ranks.
    void addMissingRanks(instant now, std::uint32_t ranks);

    coordinator_limits m_limits;
    std::map<std::uint32_t, known_status> m_statuses;
    expert_popularity m_popularity;
    phase m_phase = phase::Idle;
    instant m_phaseEnteredAt;
    instant m_sentAt;
    instant m_nextPlanAt;
    map_proposal m_proposal;
    map_changes m_changes;
    // Digest of the experts that each rank holds by the proposed map.
    std::vector<std::uint64_t> m_rankDigests;
    // When the ranks were asked for their status before the switch; it begins only when all have reported since.
    std::optional<instant> m_statusRequestedAt;
    // Number of times that the proposal was sent.
    unsigned m_proposalSends = 0;
    // The map that the changes are based on was proposed by this coordinator, or is the initial map, which all ranks know.
    bool m_ranksKnowBase = false;
    // Versions of the latest maps that this coordinator proposed.
    std::vector<group_map_version> m_ownProposals;
    switch_id m_switch;
    bool m_isCommitted = false;
    bool m_isAdopted = false;
    std::uint32_t m_ownRank = 0;
    // Since when a rank has been held while no switch was under way here.
    std::optional<instant> m_strandedSince;
    group_map_version m_highestUsedVersion = 0;
    instant m_switchBeganAt;
    // Time between the request and the pass of the switch: the time that the last switch took plus a quarter. It falls by a
    // quarter at most for each committed switch, and doubles after an aborted one.
    duration m_leadTime = minLeadTime;
    // Estimated duration of a pass, from the statuses.
    duration m_passTime = std::chrono::milliseconds(50);
    pass_number m_latestPass = 0;
    instant m_latestPassAt;
    // A map that every rank can prepare in place of the proposed one: the map in force when the proposal was made, or one
    // that was proposed to the agent that took over the switch.
    std::shared_ptr<const group_map> m_fallbackMap;
    std::shared_ptr<const group_map> m_previousMap;
    bool m_usesSingleHold = false;
    // The held rank of the switch if it has a single hold.
    std::optional<std::uint32_t> m_holder;
    std::uint32_t m_lastHolder = 0;
    // The latest pass of a switch with a single hold, and its epoch.
    pass_number m_singleHoldPass = 0;
    // Whether m_switch names the map for certain. Otherwise it is that of a rank that was held.
    bool m_isVersionCertain = true;
    // Versions that this coordinator ordered in place of the map of the switch.
    std::vector<group_map_version> m_replacements;
    group_epoch m_singleHoldEpoch = 0;
    std::vector<coordinator_log_event> m_logEvents;
    std::vector<silent_rank_action> m_silentRankActions;

    // An agent that sent nothing for this long counts as silent: during a switch, the coordinator reads its engine and sends
    // it orders.
    static constexpr duration silentRankTimeout = std::chrono::milliseconds(450);
    // Shortest time between two sends of a switch message that some rank has not acted on.
    static constexpr duration switchResendInterval = std::chrono::milliseconds(50);
    static constexpr duration minLeadTime = std::chrono::milliseconds(70);
    static constexpr duration maxLeadTime = std::chrono::milliseconds(900);
};

} // namespace appleramp
