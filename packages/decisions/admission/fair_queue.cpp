#include "decisions/admission/fair_queue.h"

#include <algorithm>
#include <cassert>

namespace appleramp {

void fair_queue::push(request_number number, const team_id& team, priority urgency)
{
    assert(!m_positions.contains(number));
    m_positions.emplace(number, queue_position { team, urgency });
    auto& level = levelOf(urgency);
    ++level.size;
    auto [queue, isNew] = level.teamQueues.try_emplace(team);
    queue->second.waiting.push_back(number);
    if (isNew) {
        queue->second.nextTurn = level.virtualTime + 1;
        level.teamsByTurn.emplace(queue->second.nextTurn, team);
    }
}

void fair_queue::remove(request_number number)
{
    const auto found = m_positions.find(number);
    if (found == m_positions.end())
        return;
    const auto position = found->second;
    m_positions.erase(found);
    auto& level = levelOf(position.urgency);
    --level.size;
    const auto queue = level.teamQueues.find(position.team);
    std::erase(queue->second.waiting, number);
    if (!queue->second.waiting.empty())
        return;
    level.teamsByTurn.erase({ queue->second.nextTurn, position.team });
    level.teamQueues.erase(queue);
}

std::vector<request_number> fair_queue::nextRequests(std::size_t most) const
{
    std::vector<request_number> next;
    for (auto index = priorityCount; index > 0; --index) {
        const auto& level = m_levels.at(index - 1);
        for (const auto& [turn, team] : level.teamsByTurn) {
            if (next.size() == most)
                return next;
            next.push_back(level.teamQueues.at(team).waiting.front());
        }
    }
    return next;
}

void fair_queue::takeTurn(request_number number)
{
    const auto position = m_positions.at(number);
    auto& level = levelOf(position.urgency);
    const auto queue = level.teamQueues.find(position.team);
    level.teamsByTurn.erase({ queue->second.nextTurn, position.team });
    level.virtualTime = std::max(level.virtualTime, queue->second.nextTurn);
    ++queue->second.nextTurn;
    level.teamsByTurn.emplace(queue->second.nextTurn, position.team);
    remove(number);
}

std::size_t fair_queue::countAhead(const team_id& team, priority urgency) const
{
    std::size_t count = 0;
    for (auto higher = static_cast<std::size_t>(urgency) + 1; higher < priorityCount; ++higher)
        count += m_levels.at(higher).size;
    const auto& level = levelOf(urgency);
    const auto own = level.teamQueues.find(team);
    const auto ownLength = own == level.teamQueues.end() ? 0 : own->second.waiting.size();
    for (const auto& [other, queue] : level.teamQueues)
        count += std::min(queue.waiting.size(), other == team ? ownLength : ownLength + 1);
    return count;
}

std::optional<request_number> fair_queue::findPreemptible(priority urgency) const
{
    for (std::size_t index = 0; index < static_cast<std::size_t>(urgency); ++index) {
        const auto& queues = m_levels.at(index).teamQueues;
        const auto longest = std::max_element(queues.begin(), queues.end(), [](const auto& one, const auto& other) {
            return one.second.waiting.size() < other.second.waiting.size();
        });
        if (longest != queues.end())
            return longest->second.waiting.back();
    }
    return std::nullopt;
}

} // namespace appleramp
