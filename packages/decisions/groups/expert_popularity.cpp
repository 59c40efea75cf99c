#include "decisions/groups/expert_popularity.h"

#include <algorithm>
#include <cmath>

namespace appleramp {

namespace {

constexpr duration newestHalfLife = std::chrono::milliseconds(60);
constexpr duration fastHalfLife = std::chrono::milliseconds(200);
constexpr duration slowHalfLife = std::chrono::milliseconds(1500);
// With fewer choices than this, an average is too noisy to show a shift or to replace another one.
constexpr double minFastWeight = 5000;
// A distance above the steady distance times this indicates a shift.
constexpr double shiftDistanceFactor = 1.8;
// Fraction of choices that must have moved for a shift. Where the averages usually agree much better, a distance above the
// steady one times quietShiftDistanceFactor is enough.
constexpr double minShiftDistance = 0.08;
constexpr double minQuietShiftDistance = 0.02;
constexpr double quietShiftDistanceFactor = 3.0;
// A distance above the steady distance times this may be the beginning of a shift.
constexpr double movingDistanceFactor = 1.6;
// Smoothing factor of the steady distance.
constexpr double steadyDistanceGain = 0.02;
// The steady distance is their mean up to this number of distances, and only then known well enough for a lower threshold.
constexpr std::uint32_t minSteadySamples = 50;
// From then on it follows larger distances only up to this multiple of it, so that a shift does not hide itself.
constexpr double maxSteadyGrowth = 2.0;
// Time after a detected shift until the newest average no longer holds choices from before it.
constexpr duration shiftSettlingTime = std::chrono::milliseconds(300);

} // namespace

void expert_popularity::clear()
{
    m_newest = {};
    m_fast = {};
    m_slow = {};
    m_steadyDistance = 0;
    m_steadySamples = 0;
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
    m_newest.decay(passed, newestHalfLife);
    // The newest average that replaced the others still holds choices from before the shift, so all decay fast for a while.
    const bool justShifted = m_shifts > 0 && now - m_shiftedAt < shiftSettlingTime;
    m_fast.decay(passed, justShifted ? newestHalfLife : fastHalfLife);
    m_slow.decay(passed, justShifted ? newestHalfLife : slowHalfLife);
    m_newest.add(chosen);
    m_fast.add(chosen);
    m_slow.add(chosen);
    detectShift(now);
}

// Total variation distance of the two averages: half the sum of the differences of the shares, which is the fraction of the
// choices that moved.
double expert_popularity::distance() const
{
    double sum = 0;
    for (std::size_t index = 0; index < m_slow.loads.size(); ++index)
        sum += std::abs(m_slow.loads[index] / m_slow.weight - m_fast.loads[index] / m_fast.weight);
    return sum / 2;
}

void expert_popularity::detectShift(instant now)
{
    if (m_fast.weight < minFastWeight)
        return;
    const double currentDistance = distance();
    m_latestDistance = currentDistance;
    const bool justShifted = m_shifts > 0 && now - m_shiftedAt < shiftSettlingTime;
    if (justShifted)
        return;
    if (m_steadyDistance > 0 && currentDistance > shiftThreshold()) {
        if (m_newest.weight >= minFastWeight)
            m_fast = m_newest;
        m_slow = m_fast;
        ++m_shifts;
        m_shiftedAt = now;
        return;
    }
    const bool isSettled = m_steadySamples >= minSteadySamples;
    const double followed = isSettled ? std::min(currentDistance, maxSteadyGrowth * m_steadyDistance) : currentDistance;
    ++m_steadySamples;
    m_steadyDistance += std::max(steadyDistanceGain, 1.0 / m_steadySamples) * (followed - m_steadyDistance);
}

bool expert_popularity::isMoving() const
{
    return m_steadySamples >= minSteadySamples && m_latestDistance > movingDistanceFactor * m_steadyDistance;
}

double expert_popularity::shiftThreshold() const
{
    const bool isSettled = m_steadySamples >= minSteadySamples;
    const double quiet = isSettled ? quietShiftDistanceFactor * m_steadyDistance : minShiftDistance;
    return std::max(shiftDistanceFactor * m_steadyDistance, std::clamp(quiet, minQuietShiftDistance, minShiftDistance));
}

std::vector<std::uint32_t> choice_counter::takeIncrease(std::span<const std::uint32_t> totals)
{
    std::vector<std::uint32_t> chosen;
    for (std::size_t index = 0; index < totals.size() && m_lastTotals.size() == totals.size(); ++index) {
        const bool hasRestarted = totals[index] < m_lastTotals[index];
        chosen.push_back(hasRestarted ? totals[index] : totals[index] - m_lastTotals[index]);
    }
    m_lastTotals.assign(totals.begin(), totals.end());
    return chosen;
}

} // namespace appleramp
