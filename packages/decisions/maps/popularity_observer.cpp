#include "decisions/maps/popularity_observer.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <numeric>

namespace appleramp {

namespace {

// Ratio of smoothed to absolute error from which a deviation counts as one-sided.
constexpr auto driftSignal = 0.75F;

constexpr auto longestRun = 100;

// Counts windows in which the error has one sign and is no smaller than errors usually are.
std::int8_t continueRun(std::int8_t run, double error, double usual)
{
    if (std::abs(error) < usual / 2)
        return 0;
    if (error > 0)
        return std::int8_t(std::clamp(run + 1, 1, longestRun));
    return std::int8_t(std::clamp(run - 1, -longestRun, -1));
}

} // namespace

popularity_observer::popularity_observer(const group_shape& shape, observer_settings settings)
    : m_layers(shape.layers)
    , m_experts(shape.experts)
    , m_ranks(std::uint32_t(shape.ranks.size()))
    , m_settings(settings)
    , m_levels(std::size_t(m_layers) * m_experts, 1.0 / m_experts)
    , m_error(m_levels.size(), 0)
    , m_absoluteError(m_levels.size(), 0)
    , m_run(m_levels.size(), 0)
{
}

void popularity_observer::observe(const rank_report& report)
{
    if (report.window < m_nextWindow || report.rank >= m_ranks || report.counts.size() != m_levels.size()) {
        ++m_late;
        return;
    }
    auto& window = m_open[report.window];
    if (window.sums.empty()) {
        window.sums.resize(m_levels.size(), 0);
        window.reported.resize(m_ranks, 0);
    }
    if (window.reported[report.rank])
        return;
    window.reported[report.rank] = 1;
    ++window.reports;
    for (std::size_t cell = 0; cell < m_levels.size(); ++cell)
        window.sums[cell] += report.counts[cell];
    if (window.reports == m_ranks) {
        while (!m_open.empty() && m_open.begin()->first <= report.window)
            close(m_open.begin()->first);
    }
    while (m_open.size() > m_settings.openWindows)
        close(m_open.begin()->first);
}

void popularity_observer::close(std::uint64_t number)
{
    const auto node = m_open.extract(number);
    const auto& window = node.mapped();
    m_nextWindow = number + 1;
    if (window.reports < m_settings.quorum * m_ranks) {
        ++m_discarded;
        return;
    }
    m_spikePart = 0;
    m_driftPart = 0;
    m_noisePart = 0;
    for (layer_index layer = 0; layer < m_layers; ++layer)
        absorbLayer(layer, std::span(window.sums).subspan(std::size_t(layer) * m_experts, m_experts));
    ++m_closed;
    classify();
}

void popularity_observer::absorbLayer(layer_index layer, std::span<const std::uint64_t> counts)
{
    const auto total = std::accumulate(counts.begin(), counts.end(), std::uint64_t(0));
    if (total == 0)
        return;
    const auto first = std::size_t(layer) * m_experts;
    double sum = 0;
    for (std::size_t expert = 0; expert < m_experts; ++expert) {
        absorb(first + expert, double(counts[expert]) / double(total), 1.0 / double(total));
        sum += m_levels[first + expert];
    }
    for (std::size_t expert = 0; expert < m_experts; ++expert)
        m_levels[first + expert] /= sum;
}

void popularity_observer::absorb(std::size_t cell, double part, double precision)
{
    if (m_closed == 0) {
        m_levels[cell] = part;
        m_absoluteError[cell] = float(std::sqrt(part * precision));
        return;
    }
    const auto error = part - m_levels[cell];
    // The counts themselves are random: an error below their own deviation says nothing.
    const auto usual = std::max(double(m_absoluteError[cell]), std::sqrt(m_levels[cell] * precision));
    const auto clip = m_settings.clipErrors * usual;
    m_run[cell] = continueRun(m_run[cell], error, usual);
    const auto lasts = std::uint32_t(std::abs(m_run[cell]))
        >= (m_broad ? m_settings.confirmBroadWindows : m_settings.confirmWindows);
    const auto believed = lasts ? error : std::clamp(error, -clip, clip);

    const auto smoothing = float(m_settings.errorSmoothing);
    m_error[cell] += smoothing * float(believed - m_error[cell]);
    m_absoluteError[cell] += smoothing * float(std::abs(believed) - m_absoluteError[cell]);
    const auto signal = std::abs(m_error[cell]) / std::max(m_absoluteError[cell], float(usual / m_settings.clipErrors));
    const auto gain = std::clamp(double(signal * signal), m_settings.minGain, m_settings.maxGain);
    m_levels[cell] = std::max(0.0, m_levels[cell] + gain * believed);

    if (std::abs(error) > clip && !lasts)
        m_spikePart += std::abs(error);
    else if (lasts && signal > driftSignal && std::abs(error) > usual / 2)
        m_driftPart += std::abs(error);
    else
        m_noisePart += std::abs(error);
}

void popularity_observer::classify()
{
    m_spikePart /= m_layers;
    m_driftPart /= m_layers;
    m_noisePart /= m_layers;
    m_broad = m_spikePart >= m_settings.broadPart;
    if (m_driftPart >= m_settings.notablePart && m_driftPart >= m_spikePart)
        m_change = popularity_change::Drift;
    else if (m_spikePart >= m_settings.notablePart)
        m_change = popularity_change::Spike;
    else if (m_noisePart >= m_settings.notablePart)
        m_change = popularity_change::Noise;
    else
        m_change = popularity_change::Steady;
}

} // namespace appleramp
