#pragma once

#include "decisions/groups/expert_popularity.h"
#include "decisions/groups/map_switch.h"
#include "decisions/groups/switch_coordinator.h"
#include "model/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace appleramp {

// Events of an agent beside a rank.

struct rank_read {
    instant now;
    rank_state state;
};
// The rank's experts by the map in force and by the one that is prepared, as the engine lists them.
struct rank_lists_read {
    instant now;
    group_epoch epoch = 0;
    map_number mapVersion = 0;
    std::vector<std::vector<expert_number>> experts;
    std::optional<map_number> preparedVersion;
    std::vector<std::vector<expert_number>> preparedExperts;
};
struct choices_read {
    instant now;
    std::vector<std::uint32_t> totals;
};
struct rank_order_refused {
    instant now;
    rank_order order;
};
struct group_message_heard {
    instant now;
    group_message message;
};
// A reading of another rank's engine, over the network.
struct foreign_rank_read {
    instant now;
    rank_state state;
};
struct group_time_passed {
    instant now;
};

using group_event = std::variant<rank_read, rank_lists_read, choices_read, rank_order_refused, group_message_heard, foreign_rank_read,
    group_time_passed>;

// Effects.

struct give_order {
    rank_order order;
};
// Ask the engine for its lists.
struct read_lists { };
struct group_note {
    std::string what;
    std::string detail;
};

using group_effect = std::variant<give_order, read_lists, outgoing_message, read_foreign_rank, give_foreign_order, group_note>;
using group_effects = std::vector<group_effect>;

// The reducer of an agent beside one rank: keeps its engine in step with its group and, in one of them, coordinates.
//
// The agent of the lowest rank that is heard coordinates. It needs no lease: whatever two coordinators do, a rank lets
// a pass begin only on a final outcome.
class group_agent {
public:
    group_agent(coordinator_limits limits, std::string zone);

    void setLimits(coordinator_limits limits) { m_coordinator.setLimits(std::move(limits)); }
    group_effects handle(const group_event& event);

    bool leads() const { return m_leads; }
    // A map is being prepared or brought into force.
    bool isSwitching() const { return m_state && m_switch.isUnderWay(*m_state); }
    const std::optional<rank_state>& state() const { return m_state; }

private:
    void on(const rank_read& event);
    void on(const rank_lists_read& event);
    void on(const choices_read& event);
    void on(const rank_order_refused& event);
    void on(const group_message_heard& event);
    void on(const foreign_rank_read& event);
    void on(const group_time_passed& event);

    void hear(instant now, const coordinator_beat& message);
    void hear(instant now, const rank_status& message);
    void hear(instant now, const rank_choices& message);
    void hear(instant now, const map_proposal& message);
    void hear(instant now, const map_changes& message);
    void proposeChanges(const map_changes& changes);
    void hear(instant now, const switch_request& message);
    void hear(instant now, const switch_outcome& message);
    void hear(instant now, const status_query& message);
    void hear(instant now, const status_wanted& message);

    void actOn(instant now);
    void giveDueOrder(instant now);
    // Tells the leader what is new, and an asker in any case.
    void tellStatus(instant now, std::optional<std::uint32_t> asker = {});
    void decideLeader(instant now);
    void takeOverIfBlocked(instant now);
    void runCoordinator(instant now);
    rank_status status() const;
    bool listsAreCurrent() const;
    void notePlaceholder();

    std::string m_zone;
    map_switch m_switch;
    switch_coordinator m_coordinator;
    choice_counter m_choices;
    std::optional<rank_state> m_state;
    rank_lists_read m_lists;
    bool m_listsKnown = false;
    // Counts of choices that the engine keeps: sets times experts.
    std::size_t m_cells = 0;

    bool m_leads = false;
    std::uint32_t m_leaderRank = 0;
    std::string m_leaderZone;
    instant m_leaderHeardAt;
    instant m_startedAt;
    instant m_beatAt;
    instant m_statusAt;
    rank_status m_statusTold;
    bool m_statusDue = false;
    // An order was given and the engine has not been read since.
    bool m_orderGiven = false;
    // The coordinator here told this rank something.
    bool m_selfTold = false;
    group_effects m_effects;
};

} // namespace appleramp
