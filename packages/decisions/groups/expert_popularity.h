#pragma once

#include "model/time.h"

#include <cstdint>
#include <span>
#include <vector>

namespace appleramp {

// Turns the running totals of one rank into what was chosen since the last look.
//
// Totals start anew when a rank starts; a total below the last one is taken as a new start.
class choice_counter {
public:
    // Empty at the first look, which tells nothing of the time.
    std::vector<std::uint32_t> since(std::span<const std::uint32_t> totals);

private:
    std::vector<std::uint32_t> m_last;
};

// Follows how often each expert is chosen, summed over the ranks.
//
// A slow average keeps the noise of single requests out; a fast one shows a shift of demand. Where the two differ by
// more than they used to, the slow one is dropped for the fast one.
class expert_popularity {
public:
    void add(instant now, std::span<const std::uint32_t> chosen);
    // Decayed choices by set and expert; empty before the first difference is known.
    const std::vector<double>& loads() const { return m_slow.loads; }
    // Choices that the loads stand on.
    double weight() const { return m_slow.weight; }
    // Shifts of demand that were followed.
    std::uint64_t shifts() const { return m_shifts; }
    void clear();

private:
    struct average {
        std::vector<double> loads;
        double weight = 0;

        void decay(duration passed, duration halfLife);
        void add(std::span<const std::uint32_t> chosen);
    };

    void followShift(instant now);
    double distance() const;

    average m_fast;
    average m_slow;
    // Mean distance of the two averages while demand is steady.
    double m_usualDistance = 0;
    std::uint64_t m_shifts = 0;
    instant m_shiftedAt;
    instant m_decayedAt;
};

} // namespace appleramp
