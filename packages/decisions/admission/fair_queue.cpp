#include "decisions/admission/fair_queue.h"

#include <algorithm>
#include <cassert>

namespace appleramp {

void fair_queue::push(request_number number, const team_id& team, priority urgency)
{
    assert(!m_places.contains(number));
    m_places.emplace(number, place { team, urgency });
    auto& level = levelOf(urgency);
    ++level.size;
    auto [line, isNew] = level.lines.try_emplace(team);
    line->second.waiting.push_back(number);
    if (isNew) {
        line->second.turn = level.now + 1;
        level.turns.emplace(line->second.turn, team);
    }
}

void fair_queue::remove(request_number number)
{
    const auto found = m_places.find(number);
    if (found == m_places.end())
        return;
    const auto where = found->second;
    m_places.erase(found);
    auto& level = levelOf(where.urgency);
    --level.size;
    const auto line = level.lines.find(where.team);
    std::erase(line->second.waiting, number);
    if (!line->second.waiting.empty())
        return;
    level.turns.erase({ line->second.turn, where.team });
    level.lines.erase(line);
}

std::vector<request_number> fair_queue::candidates(std::size_t most) const
{
    std::vector<request_number> next;
    for (auto index = levels; index > 0; --index) {
        const auto& level = m_levels.at(index - 1);
        for (const auto& [turn, team] : level.turns) {
            if (next.size() == most)
                return next;
            next.push_back(level.lines.at(team).waiting.front());
        }
    }
    return next;
}

void fair_queue::serve(request_number number)
{
    const auto where = m_places.at(number);
    auto& level = levelOf(where.urgency);
    const auto line = level.lines.find(where.team);
    level.turns.erase({ line->second.turn, where.team });
    level.now = std::max(level.now, line->second.turn);
    ++line->second.turn;
    level.turns.emplace(line->second.turn, where.team);
    remove(number);
}

std::size_t fair_queue::ahead(const team_id& team, priority urgency) const
{
    std::size_t count = 0;
    for (auto higher = static_cast<std::size_t>(urgency) + 1; higher < levels; ++higher)
        count += m_levels.at(higher).size;
    const auto& level = levelOf(urgency);
    const auto own = level.lines.find(team);
    const auto ownLength = own == level.lines.end() ? 0 : own->second.waiting.size();
    for (const auto& [other, line] : level.lines)
        count += std::min(line.waiting.size(), other == team ? ownLength : ownLength + 1);
    return count;
}

std::optional<request_number> fair_queue::lowestBelow(priority urgency) const
{
    for (std::size_t index = 0; index < static_cast<std::size_t>(urgency); ++index) {
        const auto& lines = m_levels.at(index).lines;
        const auto longest = std::max_element(lines.begin(), lines.end(), [](const auto& one, const auto& other) {
            return one.second.waiting.size() < other.second.waiting.size();
        });
        if (longest != lines.end())
            return longest->second.waiting.back();
    }
    return std::nullopt;
}

} // namespace appleramp
