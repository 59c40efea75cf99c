#pragma once

#include "decisions/maps/lease_keeper.h"
#include "decisions/maps/map_events.h"
#include "decisions/maps/round_runner.h"
#include "model/identifiers.h"
#include "model/journal.h"
#include "model/time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace appleramp {

struct coordinator_settings {
    lease_settings lease;
    round_settings round;
    // Between a round that failed and the next.
    duration pause = std::chrono::milliseconds(200);
};

// Brings changes to a group's ranks, one round at a time: a reducer in each rank's agent, of which one leads by lease.
//
// Every round carries the lease's fencing number. A holder that loses its lease starts no further round; the ranks'
// guards refuse its orders once they have answered to its successor. The agent of rank 0 also ends rounds whose holder
// is gone, without the table: such a round orders itself after the one it ends and before every later one.
class map_coordinator {
public:
    map_coordinator(const group_id& group, rank_index rank, std::uint32_t ranks, incarnation agent,
        coordinator_settings settings = {});

    maps_effects handle(const maps_event& event);

    bool leads(instant now) const { return m_lease.held(now).has_value(); }
    const round_runner& runner() const { return m_runner; }

private:
    void on(const map_message_received& event);
    void on(const platform_replied& event);
    void on(const time_passed& event);
    void on(const engine_answered& event);
    void on(const engine_changed& event);
    void on(const change_wanted& event);

    void lead();
    bool deposed(fencing_number fencing) const;
    void concludeRound();
    void startRound(std::optional<round_content> content);
    void startEnding(const map_round& promised);
    void journal(decision_kind kind, std::string reason);

    group_id m_group;
    rank_index m_rank;
    incarnation m_agent;
    coordinator_settings m_settings;
    lease_keeper m_lease;
    round_runner m_runner;

    instant m_now;
    maps_effects m_effects;
    operation_number m_nextOperation;

    fencing_number m_fencing = 0;
    std::uint64_t m_number = 0;
    bool m_concluded = true;
    bool m_repairDue = false;
    std::optional<round_content> m_wanted;
    instant m_nextRound;
};

} // namespace appleramp
