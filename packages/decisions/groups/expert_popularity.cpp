#include "decisions/groups/expert_popularity.h"

#include <algorithm>
#include <cmath>

namespace appleramp {

namespace {

constexpr duration fastHalfLife = std::chrono::milliseconds(200);
constexpr duration slowHalfLife = std::chrono::milliseconds(1500);
// Choices in the fast average below which it says nothing.
constexpr double leastWeight = 5000;
// Times the usual distance from which the averages are apart by a shift.
constexpr double shiftFactor = 1.8;
// A part of the choices that moved below which nothing is a shift.
constexpr double leastShift = 0.08;
constexpr double usualGain = 0.02;
// Time that demand takes to settle after a shift was seen.
constexpr duration shiftTime = std::chrono::milliseconds(500);

} // namespace

void expert_popularity::clear()
{
    m_fast = {};
    m_slow = {};
    m_usualDistance = 0;
}

void expert_popularity::average::decay(duration passed, duration halfLife)
{
    const double factor = std::exp2(-std::chrono::duration<double>(passed) / std::chrono::duration<double>(halfLife));
    for (double& load : loads)
        load *= factor;
    weight *= factor;
}

void expert_popularity::average::add(std::span<const std::uint32_t> chosen)
{
    loads.resize(chosen.size());
    for (std::size_t index = 0; index < chosen.size(); ++index) {
        loads[index] += chosen[index];
        weight += chosen[index];
    }
}

void expert_popularity::add(instant now, std::span<const std::uint32_t> chosen)
{
    if (m_slow.loads.size() != chosen.size()) {
        clear();
        m_decayedAt = now;
    }
    const duration passed = now - m_decayedAt;
    m_decayedAt = now;
    m_fast.decay(passed, fastHalfLife);
    // Until what came before a shift has left the fast average, the slow one follows as fast.
    const bool justShifted = m_shifts > 0 && now - m_shiftedAt < shiftTime;
    m_slow.decay(passed, justShifted ? fastHalfLife : slowHalfLife);
    m_fast.add(chosen);
    m_slow.add(chosen);
    followShift(now);
}

// Half the sum of the differences of the shares: the part of the choices that went elsewhere.
double expert_popularity::distance() const
{
    double sum = 0;
    for (std::size_t index = 0; index < m_slow.loads.size(); ++index)
        sum += std::abs(m_slow.loads[index] / m_slow.weight - m_fast.loads[index] / m_fast.weight);
    return sum / 2;
}

void expert_popularity::followShift(instant now)
{
    if (m_fast.weight < leastWeight)
        return;
    const double apart = distance();
    const bool justShifted = m_shifts > 0 && now - m_shiftedAt < shiftTime;
    if (justShifted)
        return;
    if (m_usualDistance > 0 && apart > std::max(shiftFactor * m_usualDistance, leastShift)) {
        m_slow = m_fast;
        ++m_shifts;
        m_shiftedAt = now;
        return;
    }
    m_usualDistance = m_usualDistance == 0 ? apart : m_usualDistance + usualGain * (apart - m_usualDistance);
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
