#pragma once

#include "decisions/maps/expert_map.h"
#include "model/time.h"

#include <cstdint>
#include <random>
#include <span>
#include <string_view>
#include <vector>

namespace appleramp {

enum class drift_kind {
    // Each expert's popularity swings with a period of a day.
    Slow,
    // At the end of the month another set of experts is popular for four days.
    Monthly,
    // Some experts swap their popularity at once, a few times a day.
    Sudden,
    // Slow drift under heavy noise, with spikes of one window.
    Noisy,
    // Slow drift, and one rank falls to a part of its speed.
    SlowRank,
};

std::string_view nameOf(drift_kind kind);

// Draws the popularity of every expert of every layer, window after window, from a seed.
class popularity_process {
public:
    popularity_process(drift_kind kind, std::uint16_t layers, std::uint16_t experts, std::uint64_t seed);

    duration window() const;
    std::uint32_t windows() const;
    // Tokens per layer and expert in the next window.
    std::span<const std::uint32_t> next();

private:
    double logWeight(std::size_t cell, double hours) const;
    void swapSome();
    double monthEndPart(double hours) const;

    drift_kind m_kind;
    std::uint16_t m_layers;
    std::uint16_t m_experts;
    std::mt19937_64 m_random;
    std::uint32_t m_window = 0;
    std::vector<double> m_base;
    std::vector<double> m_monthEnd;
    std::vector<double> m_phase;
    std::vector<std::uint32_t> m_counts;
};

} // namespace appleramp
