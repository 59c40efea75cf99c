#pragma once

#include "decisions/maps/map_events.h"
#include "decisions/maps/schedules/virtual_time.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <set>
#include <vector>

namespace appleramp::testing {

// Simulates the engines of one group, which run in lockstep: a step ends only after every rank has begun it.
//
// Orders to one rank are executed one after the other, except for loading. Counts a mixed step when a rank begins a
// step that another rank has begun with a different map.
class fake_engines {
public:
    using answer = std::function<void(bool done, engine_state state)>;

    fake_engines(virtual_time& time, std::mt19937_64& random, std::uint32_t ranks, bool checkFencing);

    void order(rank_index rank, const order_engine& order, answer reply);
    void kill(rank_index rank);
    void start(rank_index rank);
    // Delays the rank's start of the next step by this time, after the current step has ended.
    void stall(rank_index rank, duration delay) { m_engines[rank].stall = delay; }
    void endStall(rank_index rank);

    bool alive(rank_index rank) const { return m_engines[rank].alive; }
    // The longest time between two ends of steps since resetStandstill().
    duration standstill() const { return std::max(m_standstill, m_time.now() - m_lastStep); }
    void resetStandstill();
    std::uint64_t steps() const { return m_step; }
    std::uint64_t mixedSteps() const { return m_mixed; }
    map_version installed(rank_index rank) const { return m_engines[rank].installed; }
    duration longestHold() const { return m_longestHold; }

    // Called when an engine reaches the step of a hold, and when it starts.
    std::function<void(rank_index, engine_state)> changed;
    // Probability that an install is confirmed but not executed.
    double falseInstallProbability = 0;

private:
    struct engine {
        bool alive = true;
        std::uint64_t boot = 1;
        map_version installed;
        map_version lastRun;
        bool held = true;
        std::optional<std::uint64_t> holdBefore;
        bool begun = false;
        duration stall {};
        std::set<map_version> loaded { map_version {} };
        fencing_number highestFencing = 0;
        instant busyUntil;
        // Not set while the engine is in the hold that it starts with.
        std::optional<instant> heldSince;
    };

    engine_state stateOf(const engine& engine) const;
    bool carryOut(rank_index rank, const engine_order& order);
    bool carryOut(rank_index rank, const read_engine& order);
    bool carryOut(rank_index rank, const prepare_engine& order);
    bool carryOut(rank_index rank, const hold_engine& order);
    bool carryOut(rank_index rank, const install_engine& order);
    bool carryOut(rank_index rank, const resume_engine& order);
    duration delayOf(engine& engine, const engine_order& order);
    duration timeFor(const engine_order& order);
    void hold(engine& engine);
    void release(engine& engine);
    void tryBegin(rank_index rank);
    void endStepIfAllBegan();
    void endStep();

    virtual_time& m_time;
    std::mt19937_64& m_random;
    bool m_checkFencing;
    std::vector<engine> m_engines;
    std::uint64_t m_step = 1;
    bool m_ending = false;
    std::uint64_t m_mixed = 0;
    duration m_longestHold {};
    duration m_standstill {};
    instant m_lastStep {};
};

} // namespace appleramp::testing
