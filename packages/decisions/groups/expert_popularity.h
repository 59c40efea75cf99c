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
// What was chosen counts half after halfLife, so that a shift of demand is followed within that time.
class expert_popularity {
public:
    void add(instant now, std::span<const std::uint32_t> chosen);
    // Decayed choices by set and expert; empty before the first difference is known.
    const std::vector<double>& loads() const { return m_loads; }
    // Choices that the loads stand on.
    double weight() const { return m_weight; }
    void clear();

    static constexpr duration halfLife = std::chrono::milliseconds(600);

private:
    void decay(instant now);

    std::vector<double> m_loads;
    double m_weight = 0;
    instant m_decayedAt;
};

} // namespace appleramp
