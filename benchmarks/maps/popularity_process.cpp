#include "maps/popularity_process.h"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <numeric>
#include <utility>

namespace appleramp {

namespace {

// Deviation of the logarithm of popularity among a layer's experts.
constexpr auto popularitySpread = 0.7;
constexpr auto swing = 0.5;
constexpr auto noise = 0.10;
constexpr auto spikeProbability = 0.0005;
constexpr auto spikeFactor = 4.0;
constexpr auto swappedPart = 0.1;
// Six hours of one minute each.
constexpr auto swapWindows = 360U;
constexpr auto tokensPerSecond = 650'000.0;
constexpr auto dayHours = 24.0;
constexpr auto monthEndFirst = 26 * dayHours;
constexpr auto monthEndLast = 30 * dayHours;
constexpr auto rampHours = 12.0;

} // namespace

std::string_view nameOf(drift_kind kind)
{
    switch (kind) {
    case drift_kind::Slow:
        return "slow";
    case drift_kind::Monthly:
        return "monthly";
    case drift_kind::Sudden:
        return "sudden";
    case drift_kind::Noisy:
        return "noisy";
    case drift_kind::SlowRank:
        return "slow_rank";
    }
    return "unknown";
}

popularity_process::popularity_process(
    drift_kind kind, std::uint16_t layers, std::uint16_t experts, std::uint64_t seed)
    : m_kind(kind)
    , m_layers(layers)
    , m_experts(experts)
    , m_random(seed)
    , m_counts(std::size_t(layers) * experts)
{
    std::normal_distribution<double> spread(0, popularitySpread);
    std::uniform_real_distribution<double> phase(0, 2 * std::numbers::pi);
    for (std::size_t cell = 0; cell < m_counts.size(); ++cell) {
        m_base.push_back(spread(m_random));
        m_monthEnd.push_back(spread(m_random));
        m_phase.push_back(phase(m_random));
    }
}

duration popularity_process::window() const
{
    if (m_kind == drift_kind::Monthly)
        return std::chrono::minutes(30);
    return m_kind == drift_kind::Sudden ? std::chrono::minutes(1) : std::chrono::minutes(5);
}

std::uint32_t popularity_process::windows() const
{
    const duration whole = m_kind == drift_kind::Monthly ? std::chrono::hours(32 * 24) : std::chrono::hours(24);
    return std::uint32_t(whole / window());
}

double popularity_process::monthEndPart(double hours) const
{
    const auto rising = std::clamp((hours - monthEndFirst) / rampHours, 0.0, 1.0);
    const auto falling = std::clamp((hours - monthEndLast) / rampHours, 0.0, 1.0);
    return rising - falling;
}

double popularity_process::logWeight(std::size_t cell, double hours) const
{
    if (m_kind == drift_kind::Sudden)
        return m_base[cell];
    if (m_kind == drift_kind::Monthly) {
        const auto part = monthEndPart(hours);
        return (1 - part) * m_base[cell] + part * m_monthEnd[cell];
    }
    return m_base[cell] + swing * std::sin(2 * std::numbers::pi * hours / dayHours + m_phase[cell]);
}

void popularity_process::swapSome()
{
    std::uniform_int_distribution<std::size_t> pick(0, std::size_t(m_experts) - 1);
    for (layer_index layer = 0; layer < m_layers; ++layer) {
        const auto first = std::size_t(layer) * m_experts;
        for (int i = 0; i < m_experts * swappedPart / 2; ++i)
            std::swap(m_base[first + pick(m_random)], m_base[first + pick(m_random)]);
    }
}

std::span<const std::uint32_t> popularity_process::next()
{
    const auto seconds = std::chrono::duration<double>(window()).count();
    const auto hours = m_window * seconds / 3600;

    if (m_kind == drift_kind::Sudden && m_window > 0 && m_window % swapWindows == 0)
        swapSome();
    std::normal_distribution<double> normal;
    std::uniform_real_distribution<double> uniform;
    std::vector<double> weights(m_experts);
    for (layer_index layer = 0; layer < m_layers; ++layer) {
        const auto first = std::size_t(layer) * m_experts;
        for (std::size_t expert = 0; expert < m_experts; ++expert) {
            auto weight = std::exp(logWeight(first + expert, hours));
            if (m_kind == drift_kind::Noisy) {
                weight *= std::exp(noise * normal(m_random));
                weight *= uniform(m_random) < spikeProbability ? spikeFactor : 1.0;
            }
            weights[expert] = weight;
        }
        const auto total = std::accumulate(weights.begin(), weights.end(), 0.0);
        for (std::size_t expert = 0; expert < m_experts; ++expert) {
            const auto mean = weights[expert] / total * tokensPerSecond * seconds;
            const auto count = std::max(0.0, mean + std::sqrt(mean) * normal(m_random));
            m_counts[first + expert] = std::uint32_t(count);
        }
    }
    ++m_window;
    return m_counts;
}

} // namespace appleramp
