#include "decisions/maps/popularity_observer.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <numeric>

namespace appleramp {

namespace {

// Ratio of the smoothed error to the smoothed absolute error above which a deviation counts as one-sided.
constexpr auto driftSignal = 0.75F;

constexpr auto longestRun = 100;

// Counts consecutive windows in which the error has the same sign and at least half its usual size. The sign of the
// count is that of the error.
std::int8_t continueRun(std::int8_t run, double error, double typicalError)
{
    if (std::abs(error) < typicalError / 2)
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
    , m_loads(std::size_t(m_layers) * m_experts, 1.0 / m_experts)
    , m_error(m_loads.size(), 0)
    , m_absoluteError(m_loads.size(), 0)
    , m_runLengths(m_loads.size(), 0)
{
}

void popularity_observer::observe(const rank_report& report)
{
    if (report.window < m_nextWindow || report.rank >= m_ranks || report.counts.size() != m_loads.size()) {
        ++m_lateReports;
        return;
    }
    auto& window = m_openWindows[report.window];
    if (window.sums.empty()) {
        window.sums.resize(m_loads.size(), 0);
        window.reported.resize(m_ranks, 0);
    }
    if (window.reported[report.rank])
        return;
    window.reported[report.rank] = 1;
    ++window.reports;
    for (std::size_t cell = 0; cell < m_loads.size(); ++cell)
        window.sums[cell] += report.counts[cell];
    if (window.reports == m_ranks) {
        while (!m_openWindows.empty() && m_openWindows.begin()->first <= report.window)
            closeWindow(m_openWindows.begin()->first);
    }
    while (m_openWindows.size() > m_settings.maxOpenWindows)
        closeWindow(m_openWindows.begin()->first);
}

void popularity_observer::closeWindow(std::uint64_t number)
{
    const auto node = m_openWindows.extract(number);
    const auto& window = node.mapped();
    m_nextWindow = number + 1;
    if (window.reports < m_settings.quorum * m_ranks) {
        ++m_discardedWindows;
        return;
    }
    m_spikeFraction = 0;
    m_driftFraction = 0;
    m_noiseFraction = 0;
    for (layer_index layer = 0; layer < m_layers; ++layer)
        updateLayer(layer, std::span(window.sums).subspan(std::size_t(layer) * m_experts, m_experts));
    ++m_closedWindows;
    classify();
}

void popularity_observer::updateLayer(layer_index layer, std::span<const std::uint64_t> counts)
{
    const auto total = std::accumulate(counts.begin(), counts.end(), std::uint64_t(0));
    if (total == 0)
        return;
    const auto first = std::size_t(layer) * m_experts;
    double sum = 0;
    for (std::size_t expert = 0; expert < m_experts; ++expert) {
        updateLoad(first + expert, double(counts[expert]) / double(total), 1.0 / double(total));
        sum += m_loads[first + expert];
    }
    for (std::size_t expert = 0; expert < m_experts; ++expert)
        m_loads[first + expert] /= sum;
}

void popularity_observer::updateLoad(std::size_t cell, double part, double precision)
{
    if (m_closedWindows == 0) {
        m_loads[cell] = part;
        m_absoluteError[cell] = float(std::sqrt(part * precision));
        return;
    }
    const auto error = part - m_loads[cell];
    // The counts are random samples: an error below their standard deviation carries no information.
    const auto typicalError = std::max(double(m_absoluteError[cell]), std::sqrt(m_loads[cell] * precision));
    const auto clip = m_settings.clipFactor * typicalError;
    m_runLengths[cell] = continueRun(m_runLengths[cell], error, typicalError);
    const auto persists = std::uint32_t(std::abs(m_runLengths[cell]))
        >= (m_broadSpike ? m_settings.confirmBroadWindows : m_settings.confirmWindows);
    const auto acceptedError = persists ? error : std::clamp(error, -clip, clip);

    const auto smoothing = float(m_settings.errorSmoothing);
    m_error[cell] += smoothing * float(acceptedError - m_error[cell]);
    m_absoluteError[cell] += smoothing * float(std::abs(acceptedError) - m_absoluteError[cell]);
    const auto signal
        = std::abs(m_error[cell]) / std::max(m_absoluteError[cell], float(typicalError / m_settings.clipFactor));
    const auto gain = std::clamp(double(signal * signal), m_settings.minGain, m_settings.maxGain);
    m_loads[cell] = std::max(0.0, m_loads[cell] + gain * acceptedError);

    if (std::abs(error) > clip && !persists)
        m_spikeFraction += std::abs(error);
    else if (persists && signal > driftSignal && std::abs(error) > typicalError / 2)
        m_driftFraction += std::abs(error);
    else
        m_noiseFraction += std::abs(error);
}

void popularity_observer::classify()
{
    m_spikeFraction /= m_layers;
    m_driftFraction /= m_layers;
    m_noiseFraction /= m_layers;
    m_broadSpike = m_spikeFraction >= m_settings.broadFraction;
    if (m_driftFraction >= m_settings.notableFraction && m_driftFraction >= m_spikeFraction)
        m_change = popularity_change::Drift;
    else if (m_spikeFraction >= m_settings.notableFraction)
        m_change = popularity_change::Spike;
    else if (m_noiseFraction >= m_settings.notableFraction)
        m_change = popularity_change::Noise;
    else
        m_change = popularity_change::Steady;
}

} // namespace appleramp
