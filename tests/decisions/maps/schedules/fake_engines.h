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

// The engines of one group, in lock-step: a step ends when every rank has begun it.
//
// Orders of one rank are carried out one after the other. Notes a mixed step as soon as two ranks have begun the same
// step with different maps.
class fake_engines {
public:
    using answer = std::function<void(bool done, engine_state state)>;

    fake_engines(virtual_time& time, std::mt19937_64& random, std::uint32_t ranks, bool checkFencing);

    void order(rank_index rank, const order_engine& order, answer reply);
    void kill(rank_index rank);
    void start(rank_index rank);
    // The rank begins the step after the next end of a step this much later.
    void stall(rank_index rank, duration delay) { m_engines[rank].stall = delay; }
    void endStall(rank_index rank);

    bool alive(rank_index rank) const { return m_engines[rank].alive; }
    // The longest time without the end of a step since the watch began.
    duration standstill() const { return std::max(m_standstill, m_time.now() - m_lastStep); }
    void watchStandstill();
    std::uint64_t steps() const { return m_step; }
    std::uint64_t mixedSteps() const { return m_mixed; }
    map_version installed(rank_index rank) const { return m_engines[rank].installed; }
    duration longestHold() const { return m_longestHold; }

    // Called when a rank reaches a hold or starts.
    std::function<void(rank_index, engine_state)> changed;
    // The part of installs that are confirmed but not done.
    double falseInstalls = 0;

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
        // Not set for the hold in which an engine starts.
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
