#pragma once

#include "model/time.h"

#include <cstdint>
#include <span>
#include <vector>

namespace appleramp {

// Turns the running totals of one rank into the choices since the previous reading.
//
// Totals restart at zero when the rank restarts: a total below the previous one is taken as counted from zero.
class choice_counter {
public:
    // Returns the increase of each total. Empty for the first reading, which covers an unknown time, and after a change of size.
    std::vector<std::uint32_t> takeIncrease(std::span<const std::uint32_t> totals);

private:
    std::vector<std::uint32_t> m_lastTotals;
};

// Tracks how often each expert is chosen, summed over the ranks, as exponentially decayed counts.
//
// A slow average suppresses the noise of single requests; a fast one reveals a shift of demand. When the two differ by more
// than they usually do, both are replaced by the newest choices.
class expert_popularity {
public:
    void add(instant now, std::span<const std::uint32_t> chosen);
    // Decayed number of choices by set and expert; empty before the first counts are added.
    const std::vector<double>& loads() const { return m_slow.loads; }
    // Sum of the loads: the decayed number of choices that they are based on.
    double weight() const { return m_slow.weight; }
    // Fraction of the choices by which the latest demand differs from the slow average, and its usual value.
    double latestDistance() const { return m_latestDistance; }
    double steadyDistance() const { return m_steadyDistance; }
    // Whether the latest demand differs from the slow average by more than usual, though not yet enough for a shift.
    bool isMoving() const;
    // Number of shifts of demand that were detected.
    std::uint64_t shifts() const { return m_shifts; }
    void clear();

private:
    struct average {
        std::vector<double> loads;
        double weight = 0;

        void decay(duration passed, duration halfLife);
        void add(std::span<const std::uint32_t> chosen);
    };

    void detectShift(instant now);
    double distance() const;
    double shiftThreshold() const;

    average m_newest;
    average m_fast;
    average m_slow;
    // Smoothed distance between the two averages while demand is steady.
    double m_steadyDistance = 0;
    std::uint32_t m_steadySamples = 0;
    double m_latestDistance = 0;
    std::uint64_t m_shifts = 0;
    instant m_shiftedAt;
    instant m_decayedAt;
};

} // namespace appleramp
