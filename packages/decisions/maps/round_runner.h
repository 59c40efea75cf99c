#pragma once

#include "decisions/maps/map_events.h"
#include "model/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace appleramp {

struct round_settings {
    // Interval at which an unanswered order is sent again.
    duration retryInterval = std::chrono::milliseconds(100);
    duration collectTimeout = std::chrono::seconds(1);
    // Long, since loading weights takes long; no rank is held meanwhile.
    duration prepareTimeout = std::chrono::minutes(10);
    // For each of the phases hold, install and resume, in which ranks are held.
    duration heldPhaseTimeout = std::chrono::milliseconds(800);
    // Number of steps from the latest known next step to the one before which the ranks hold.
    std::uint64_t holdLeadSteps = 2;
};

enum class round_outcome {
    // No round has been started.
    Idle,
    Running,
    // The change is active at every rank.
    Changed,
    // All ranks run the same map, after a repair or because they already did. No change was applied.
    Repaired,
    Failed,
};

// Runs one round over all ranks of a group: collect, prepare, hold, install, resume.
//
// In the collect phase, every rank promises to accept no order of an earlier round and reports its state. If all run
// the same map, the change is applied to them. Otherwise the round repairs: all ranks get the map of a rank that is
// running, or, if none is, the map that most of them ran last. No rank resumes before every rank has been read back
// with the same map. A round that fails leaves held ranks held; a later round repairs that by the same rule. Used by
// map_coordinator.
class round_runner {
public:
    round_runner(std::uint32_t ranks, round_settings settings);

    // Without a change, the round only repairs.
    void start(instant now, const map_round& round, std::optional<group_change> change, maps_effects& effects);
    void onMessage(instant now, rank_index from, const map_message& message, maps_effects& effects);
    void onTime(instant now, maps_effects& effects);

    round_outcome outcome() const { return m_outcome; }
    const map_round& round() const { return m_round; }
    // Why the round failed, or what it achieved.
    const std::string& reason() const { return m_reason; }
    // The latest round that any rank is known to have answered.
    const map_round& highestPromised() const { return m_highestPromised; }
    void notePromised(const map_round& round);

private:
    enum class phase {
        Collect,
        Prepare,
        Hold,
        Install,
        Resume,
    };
    struct rank_record {
        std::optional<rank_snapshot> snapshot;
        bool involved = true;
        bool answered = false;
        std::uint64_t nextStep = 0;
    };

    void on(rank_index from, const rank_snapshot& answer);
    void on(rank_index from, const rank_prepared& answer);
    void on(rank_index from, const rank_held& answer);
    void on(rank_index from, const hold_passed& answer);
    void on(rank_index from, const rank_installed& answer);
    void on(rank_index from, const rank_resumed& answer);
    void on(rank_index from, const rank_refused& answer);

    bool allAnswered() const;
    void nextPhase();
    void afterCollect();
    void afterHold();
    void enterPhase(phase next);
    void raiseHoldStep(std::uint64_t beforeStep);
    void finish(round_outcome outcome, std::string reason);
    bool allRunSameMap() const;
    map_version repairVersion() const;
    bool requiresHold() const;
    duration timeout() const;
    void sendOrders();
    map_message orderFor(const rank_record& record) const;

    round_settings m_settings;
    std::vector<rank_record> m_ranks;

    instant m_now;
    maps_effects* m_effects = nullptr;

    round_outcome m_outcome = round_outcome::Idle;
    map_round m_round;
    map_round m_highestPromised;
    std::string m_reason;
    std::optional<group_change> m_change;
    bool m_repairing = false;
    phase m_phase = phase::Collect;
    map_version m_version;
    std::uint64_t m_holdBeforeStep = 0;
    instant m_deadline;
    instant m_nextSendAt;
};

} // namespace appleramp
