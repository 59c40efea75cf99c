#pragma once

#include "decisions/maps/map_events.h"
#include "model/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace appleramp {

struct round_settings {
    // Between two sends of an order that has not been answered.
    duration retryInterval = std::chrono::milliseconds(100);
    duration collectTimeout = std::chrono::seconds(1);
    // Loading weights takes long and holds nobody.
    duration prepareTimeout = std::chrono::minutes(10);
    // For each of the parts in which ranks are held.
    duration heldTimeout = std::chrono::milliseconds(800);
    // Steps between the latest one known and the one before which the ranks hold.
    std::uint64_t holdLead = 2;
};

enum class round_outcome {
    // No round has been started.
    Idle,
    Running,
    // The content is in force at every rank.
    Changed,
    // All ranks run one map again, or did already; the content was not brought.
    Repaired,
    Failed,
};

// Runs one round over all ranks of a group: collect, prepare, hold, install, resume.
//
// In collecting, every rank promises to take no order of an earlier round and says how it stands. If all run the same
// map, the content is brought to them; otherwise the round repairs: if any rank runs, its map stands, else all go back
// to the map that they ran last. No rank resumes before every rank has been read back with the same map. A round that
// fails leaves held ranks held; a later round mends that by the same rule. Works for map_coordinator.
class round_runner {
public:
    round_runner(std::uint32_t ranks, round_settings settings);

    // Without content the round only repairs.
    void start(instant now, const map_round& round, std::optional<round_content> content, maps_effects& effects);
    void onMessage(instant now, rank_index from, const map_message& message, maps_effects& effects);
    void onTime(instant now, maps_effects& effects);

    round_outcome outcome() const { return m_outcome; }
    const map_round& round() const { return m_round; }
    // Why the round failed, or what it did.
    const std::string& reason() const { return m_reason; }
    // The latest round that any rank is known to have answered to.
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
    void enter(phase next);
    void raiseHold(std::uint64_t beforeStep);
    void finish(round_outcome outcome, std::string reason);
    bool allRunTheSame() const;
    map_version versionThatStands() const;
    bool touchesSteps() const;
    duration timeout() const;
    void send();
    map_message orderFor(const rank_record& record) const;

    round_settings m_settings;
    std::vector<rank_record> m_ranks;

    instant m_now;
    maps_effects* m_effects = nullptr;

    round_outcome m_outcome = round_outcome::Idle;
    map_round m_round;
    map_round m_highestPromised;
    std::string m_reason;
    std::optional<round_content> m_content;
    bool m_repairing = false;
    phase m_phase = phase::Collect;
    map_version m_version;
    std::uint64_t m_beforeStep = 0;
    instant m_deadline;
    instant m_nextSend;
};

} // namespace appleramp
