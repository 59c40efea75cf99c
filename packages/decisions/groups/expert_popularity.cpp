#include "decisions/groups/expert_popularity.h"

#include <cmath>

namespace appleramp {

void expert_popularity::clear()
{
    m_loads.clear();
    m_weight = 0;
}

void expert_popularity::decay(instant now)
{
    const double halves = std::chrono::duration<double>(now - m_decayedAt) / std::chrono::duration<double>(halfLife);
    const double factor = std::exp2(-halves);
    for (double& load : m_loads)
        load *= factor;
    m_weight *= factor;
    m_decayedAt = now;
}

void expert_popularity::add(instant now, std::span<const std::uint32_t> chosen)
{
    if (m_loads.size() != chosen.size()) {
        clear();
        m_loads.assign(chosen.size(), 0);
        m_decayedAt = now;
    }
    decay(now);
    for (std::size_t index = 0; index < chosen.size(); ++index) {
        m_loads[index] += chosen[index];
        m_weight += chosen[index];
    }
}

std::vector<std::uint32_t> choice_counter::since(std::span<const std::uint32_t> totals)
{
    std::vector<std::uint32_t> chosen;
    for (std::size_t index = 0; index < totals.size() && m_last.size() == totals.size(); ++index) {
        const bool isNewStart = totals[index] < m_last[index];
        chosen.push_back(isNewStart ? totals[index] : totals[index] - m_last[index]);
    }
    m_last.assign(totals.begin(), totals.end());
    return chosen;
}

} // namespace appleramp
