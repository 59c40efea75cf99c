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

// Requests of one service that wait for a slot: higher priority first, and teams in turn within a priority, however
// many requests a team has waiting. Only teams with waiting requests take memory.
class fair_queue {
public:
    void push(request_number number, const team_id& team, priority urgency);
    void remove(request_number number);

    // The next request of each team, in the order in which they should be served.
    std::vector<request_number> candidates(std::size_t most) const;
    // Takes a candidate out and charges its team for a turn.
    void serve(request_number number);

    // Requests that a new one of this team and priority would be served after.
    std::size_t ahead(const team_id& team, priority urgency) const;
    // The last request of the longest line of the lowest priority, if that is below the given one.
    std::optional<request_number> lowestBelow(priority urgency) const;
    std::size_t size() const { return m_places.size(); }
    bool empty() const { return m_places.empty(); }

private:
    struct team_line {
        // Virtual time of the line's next turn.
        std::uint64_t turn = 0;
        std::deque<request_number> waiting;
    };
    struct priority_level {
        std::map<team_id, team_line> lines;
        std::set<std::pair<std::uint64_t, team_id>> turns;
        std::uint64_t now = 0;
        std::size_t size = 0;
    };
    struct place {
        team_id team;
        priority urgency = priority::Normal;
    };
    static constexpr std::size_t levels = 3;

    priority_level& levelOf(priority urgency) { return m_levels.at(static_cast<std::size_t>(urgency)); }
    const priority_level& levelOf(priority urgency) const { return m_levels.at(static_cast<std::size_t>(urgency)); }

    std::array<priority_level, levels> m_levels;
    std::map<request_number, place> m_places;
};

} // namespace appleramp
