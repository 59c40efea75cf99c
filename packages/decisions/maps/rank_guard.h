#pragma once

#include "decisions/maps/map_events.h"
#include "model/identifiers.h"
#include "model/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace appleramp {

struct guard_settings {
    // Time for which a rank stays held without an order before its agent asks for the round to be ended.
    duration maxHoldSilence = std::chrono::seconds(1);
    duration retryInterval = std::chrono::milliseconds(200);
};

// Controls access to one rank's engine: all orders to it pass through this reducer, which runs in the rank's agent.
//
// Accepts orders of the latest round only, whatever the engine itself checks, and none before it has read the highest
// fencing number from the table. Orders name the session they are meant for, so that orders from before a restart of
// the agent or the engine are refused. map_coordinator runs the rounds.
class rank_guard {
public:
    rank_guard(const group_id& group, rank_index rank, incarnation agent, guard_settings settings = {});

    // The effects are orders to the engine, answers to a coordinator and calls to the table.
    maps_effects handle(const maps_event& event);

    const map_round& promised() const { return m_promised; }
    bool fencingKnown() const { return m_fencingKnown; }

private:
    enum class phase {
        Collect,
        Prepare,
        Hold,
        Install,
        Resume,
    };
    // The order of the latest round that the guard is executing. There is at most one.
    struct task {
        phase kind = phase::Collect;
        map_round round;
        rank_index replyTo = 0;
        map_version version;
        group_change change;
        std::uint64_t beforeStep = 0;
        // The engine has executed the order; for an install, its state is still to be read back.
        bool applied = false;
        // The engine's state was read after the order was executed or, for a collect, since the task began.
        bool stateRead = false;
    };

    void on(const map_message_received& event);
    void on(const platform_replied& event);
    void on(const time_passed& event);
    void on(const engine_answered& event);
    void on(const engine_changed& event);
    void on(const change_wanted& event);

    void take(rank_index from, const collect_rank& order);
    void take(rank_index from, const prepare_rank& order);
    void take(rank_index from, const hold_rank& order);
    void take(rank_index from, const install_rank& order);
    void take(rank_index from, const resume_rank& order);
    bool isLateCopy(const map_round& round, phase kind) const;
    std::optional<order_refusal> refusalReason(const map_round& round, const guard_session& session) const;
    void startTask(task next);

    void advance();
    void advanceCollect();
    void advancePrepare();
    void advanceHold();
    void advanceInstall();
    void advanceResume();
    void finish(map_message answer);
    void fail(order_refusal reason);
    void refuse(rank_index to, const map_round& round, order_refusal reason);
    void orderEngine(engine_order order);
    void readFencing();
    void requestEnding();
    void updateEngineState(const engine_state& state);

    rank_index m_rank;
    std::string m_leaseKey;
    incarnation m_agent;
    guard_settings m_settings;

    instant m_now;
    maps_effects m_effects;

    bool m_fencingKnown = false;
    std::optional<operation_number> m_fencingRead;
    operation_number m_nextOperation = 1;
    instant m_fencingReadStarted;

    // The latest round that this rank has answered, and the phase that it has reached.
    map_round m_promised;
    phase m_reachedPhase = phase::Collect;
    std::optional<task> m_task;
    instant m_lastOrderAt;

    std::optional<engine_state> m_engine;
    std::uint64_t m_nextOrder = 1;
    std::optional<std::uint64_t> m_outstandingOrder;
    // False if the outstanding order was given without a task, or its task has been replaced.
    bool m_orderServesTask = false;
    bool m_orderIsPrepare = false;
    instant m_orderDeadline;
};

} // namespace appleramp
