#pragma once

#include "decisions/maps/expert_map.h"
#include "decisions/maps/map_planner.h"
#include "decisions/maps/popularity_observer.h"
#include "model/journal.h"
#include "model/time.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace appleramp {

class transfer_budget;

struct rebalance_settings {
    // Gap of the step time to its lower bound above which a rebalance is weighed, and down to which it then plans.
    double triggerGap = 0.012;
    double targetGap = 0.005;
    // How far the time saved must exceed the cost.
    double margin = 2.0;
    // Time that a switch holds the group: round trips and the engine's install time.
    duration switchHold = std::chrono::milliseconds(62);
    // Step time lost per time spent loading weights.
    double loadingSlowdown = 0.05;
    duration leastInterval = std::chrono::minutes(2);
    // How long a gain is expected to last, by what the popularity does.
    duration steadyHorizon = std::chrono::hours(1);
    duration driftHorizon = std::chrono::minutes(30);
    duration noiseHorizon = std::chrono::minutes(15);
};

enum class rebalance_choice {
    Keep,
    // Only the shares of replicas change; no bytes move.
    Reshare,
    MoveExperts,
};

struct rebalance_decision {
    rebalance_choice choice = rebalance_choice::Keep;
    expert_map map;
    std::uint64_t bytes = 0;
    double savedSeconds = 0;
    double costSeconds = 0;
    // Why, or why not, in words for the journal.
    std::string reason;
};

// Decides when a group's map is worth changing: the step time saved over the forecast horizon against the time that the
// group is held and the bytes that go through the weight store.
//
// Each layer stands for itself: a layer whose moves do not pay keeps its experts. Between trigger and target gap lies
// the hysteresis. Works with map_planner for the plans and with transfer_budget, which all groups share.
class rebalance_policy {
public:
    explicit rebalance_policy(rebalance_settings settings = {});

    // Reserves the bytes of a move in the budget. The caller gives them back if the switch fails.
    rebalance_decision decide(instant now, const map_planner& planner, const expert_map& today,
        const popularity_observer& popularity, transfer_budget& budget);

private:
    struct weighing;

    duration horizon(popularity_change change) const;
    std::optional<std::string> reasonToWait(instant now, popularity_change change, double gap) const;
    void addMoves(weighing& weighing, const transfer_budget& budget) const;
    rebalance_decision conclude(weighing& weighing, transfer_budget& budget);

    rebalance_settings m_settings;
    std::optional<instant> m_lastSwitch;
};

// The journal's record of a decision.
decision journalEntry(instant now, const group_id& group, const rebalance_decision& rebalance);

} // namespace appleramp
