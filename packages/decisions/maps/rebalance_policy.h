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
    // Relative gap between the step time and its lower bound from which a rebalance is considered, and the gap that the
    // plan then aims for.
    double triggerGap = 0.012;
    double targetGap = 0.005;
    // Minimum ratio of the time saved to the cost.
    double minSavingRatio = 2.0;
    // Time for which a switch holds the group: round trips and the engine's install time.
    duration switchHold = std::chrono::milliseconds(62);
    // Fraction of the step time that is lost while weights are loaded.
    double loadingSlowdown = 0.05;
    duration minInterval = std::chrono::minutes(2);
    // Time over which a gain is expected to last, by how the popularity changes.
    duration steadyHorizon = std::chrono::hours(1);
    duration driftHorizon = std::chrono::minutes(30);
    duration noiseHorizon = std::chrono::minutes(15);
};

enum class rebalance_choice {
    Keep,
    // Changes only the load shares of replicas; no weights are transferred.
    Reshare,
    MoveExperts,
};

struct rebalance_decision {
    rebalance_choice choice = rebalance_choice::Keep;
    expert_map map;
    std::uint64_t bytes = 0;
    double savedSeconds = 0;
    double costSeconds = 0;
    // Why the map is changed or kept, as text for the journal.
    std::string reason;
};

// Decides whether changing a group's map is worth its cost: compares the step time saved over the forecast horizon with
// the time for which the group is held and the bytes loaded from the weight store.
//
// Layers are decided separately: a layer whose moves do not pay off keeps its experts. The difference between trigger
// gap and target gap is the hysteresis. Plans come from map_planner; all groups share one transfer_budget.
class rebalance_policy {
public:
    explicit rebalance_policy(rebalance_settings settings = {});

    // Reserves the bytes of a move in the budget. The caller releases them if the switch fails.
    rebalance_decision decide(instant now, const map_planner& planner, const expert_map& current,
        const popularity_observer& popularity, transfer_budget& budget);

private:
    struct evaluation;

    duration horizon(popularity_change change) const;
    std::optional<std::string> reasonToWait(instant now, popularity_change change, double gap) const;
    void addWorthwhileMoves(evaluation& evaluation, const transfer_budget& budget) const;
    rebalance_decision finishDecision(evaluation& evaluation, transfer_budget& budget);

    rebalance_settings m_settings;
    std::optional<instant> m_lastSwitch;
};

// Returns the journal entry of a rebalance decision.
decision journalEntry(instant now, const group_id& group, const rebalance_decision& rebalance);

} // namespace appleramp
