#pragma once

#include "model/identifiers.h"
#include "model/request.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <utility>
#include <vector>

namespace appleramp {

// Queue of one service's requests that wait for a slot. Higher priorities are served first; within a priority, teams are
// served round-robin, however many requests a team has queued. Only teams with queued requests take memory.
class fair_queue {
public:
    void push(request_number number, const team_id& team, priority urgency);
    void remove(request_number number);

    // The next request of each team, in service order; at most `most` of them.
    std::vector<request_number> nextRequests(std::size_t most) const;
    // Removes a candidate from the queue and moves its team behind the other teams of its priority.
    void takeTurn(request_number number);

    // How many queued requests would be served before a new request of this team and priority.
    std::size_t countAhead(const team_id& team, priority urgency) const;
    // The request to drop in favor of one with the given priority: the newest request of the team with the longest queue
    // at the lowest priority in use. Empty if no queued request has a lower priority.
    std::optional<request_number> findPreemptible(priority urgency) const;
    std::size_t size() const { return m_positions.size(); }
    bool empty() const { return m_positions.empty(); }

private:
    struct team_queue {
        // Virtual time at which the team is served next.
        std::uint64_t nextTurn = 0;
        std::deque<request_number> waiting;
    };
    struct priority_level {
        std::map<team_id, team_queue> teamQueues;
        std::set<std::pair<std::uint64_t, team_id>> teamsByTurn;
        std::uint64_t virtualTime = 0;
        std::size_t size = 0;
    };
    struct queue_position {
        team_id team;
        priority urgency = priority::Normal;
    };
    static constexpr std::size_t priorityCount = 3;

    priority_level& levelOf(priority urgency) { return m_levels.at(static_cast<std::size_t>(urgency)); }
    const priority_level& levelOf(priority urgency) const { return m_levels.at(static_cast<std::size_t>(urgency)); }

    std::array<priority_level, priorityCount> m_levels;
    std::map<request_number, queue_position> m_positions;
};

} // namespace appleramp
