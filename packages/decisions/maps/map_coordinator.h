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
    // Wait between a failed round and the next one.
    duration retryDelay = std::chrono::milliseconds(200);
};

// Coordinates changes to a group's ranks, one round at a time. A reducer that runs in every rank's agent; the agent
// that holds the group's lease is the leader.
//
// Every round carries the lease's fencing number. A leader that loses its lease starts no further round, and a rank's
// guard refuses its orders once it has answered the successor. The agent of rank 0 can also end a round whose leader
// has disappeared, without access to the table: such a round is ordered after the one it ends and before all later
// ones.
class map_coordinator {
public:
    map_coordinator(const group_id& group, rank_index rank, std::uint32_t ranks, incarnation agent,
        coordinator_settings settings = {});

    maps_effects handle(const maps_event& event);

    bool isLeader(instant now) const { return m_lease.heldFencing(now).has_value(); }
    const round_runner& runner() const { return m_runner; }

private:
    void on(const map_message_received& event);
    void on(const platform_replied& event);
    void on(const time_passed& event);
    void on(const engine_answered& event);
    void on(const engine_changed& event);
    void on(const change_wanted& event);

    void startDueRound();
    bool isSuperseded(fencing_number fencing) const;
    void recordOutcome();
    void startRound(std::optional<group_change> change);
    void startEndingRound(const map_round& promised);
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

    fencing_number m_leaseFencing = 0;
    std::uint64_t m_roundNumber = 0;
    bool m_outcomeRecorded = true;
    bool m_repairNeeded = false;
    std::optional<group_change> m_requestedChange;
    instant m_nextRoundAt;
};

} // namespace appleramp
