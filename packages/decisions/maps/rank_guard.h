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
    // How long a rank is held without word before its agent asks for an end.
    duration holdPatience = std::chrono::seconds(1);
    duration retryInterval = std::chrono::milliseconds(200);
};

// The only way to one rank's engine: a reducer in the agent beside it.
//
// Takes orders of the latest round only, whatever the engine itself checks, and none before it has learnt the highest
// fencing number from the table. Orders name the session for which they are meant, so that what an earlier life of the
// agent or the engine was told does not count. Works with map_coordinator, which runs the rounds.
class rank_guard {
public:
    rank_guard(const group_id& group, rank_index rank, incarnation agent, guard_settings settings = {});

    // One event may bring orders to the engine, answers to a coordinator and calls to the table.
    maps_effects handle(const maps_event& event);

    const map_round& promised() const { return m_promised; }
    bool learnt() const { return m_learnt; }

private:
    enum class phase {
        Collect,
        Prepare,
        Hold,
        Install,
        Resume,
    };
    // What the guard does for the latest round; one at a time.
    struct task {
        phase kind = phase::Collect;
        map_round round;
        rank_index replyTo = 0;
        map_version version;
        round_content content;
        std::uint64_t beforeStep = 0;
        // The engine did what this task asks; what is left is to read it back.
        bool done = false;
        // The engine's state was read since the task began.
        bool fresh = false;
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
    bool isLate(const map_round& round, phase kind) const;
    std::optional<order_refusal> objection(const map_round& round, const guard_session& session) const;
    void begin(task next);

    void advance();
    void advanceCollect();
    void advancePrepare();
    void advanceHold();
    void advanceInstall();
    void advanceResume();
    void finish(map_message answer);
    void fail(order_refusal reason);
    void refuse(rank_index to, const map_round& round, order_refusal reason);
    void giveOrder(engine_order order);
    void learnFencing();
    void askForEnd();
    void adopt(const engine_state& state);

    rank_index m_rank;
    std::string m_leaseKey;
    incarnation m_agent;
    guard_settings m_settings;

    instant m_now;
    maps_effects m_effects;

    bool m_learnt = false;
    std::optional<operation_number> m_learning;
    operation_number m_nextOperation = 1;
    instant m_learningSince;

    // The latest round that this rank has answered to, and how far it has gone.
    map_round m_promised;
    phase m_reached = phase::Collect;
    std::optional<task> m_task;
    instant m_lastWord;

    std::optional<engine_state> m_engine;
    std::uint64_t m_nextOrder = 1;
    std::optional<std::uint64_t> m_outstanding;
    // False once the task for which the order was given has been replaced.
    bool m_answersTask = false;
    bool m_preparing = false;
    instant m_outstandingUntil;
};

} // namespace appleramp
