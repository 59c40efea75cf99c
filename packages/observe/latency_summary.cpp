#include "observe/latency_summary.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>
#include <vector>

namespace appleramp {

namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 3> probabilities = { 0.50, 0.95, 0.99 };
// Samples that are stored, so that quantiles are exact as long as there are no more.
constexpr std::size_t maxExactSamples = 128;

using accumulator = acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::extended_p_square>>;

} // namespace

struct latency_summary::implementation {
    accumulator estimator { acc::extended_p_square_probabilities = probabilities };
    std::vector<double> firstSamples;

    double exactQuantile(double probability) const
    {
        std::vector<double> sorted = firstSamples;
        std::sort(sorted.begin(), sorted.end());
        const auto rank = static_cast<std::size_t>(std::ceil(probability * static_cast<double>(sorted.size())));
        return sorted[std::max<std::size_t>(rank, 1) - 1];
    }

    duration quantile(std::ptrdiff_t index) const
    {
        const std::size_t sampleCount = acc::count(estimator);
        if (sampleCount == 0)
            return duration::zero();
        const bool isExact = sampleCount <= maxExactSamples;
        const double value = isExact ? exactQuantile(probabilities.at(static_cast<std::size_t>(index))) : acc::extended_p_square(estimator)[index];
        return duration(std::llround(value));
    }
};

latency_summary::latency_summary()
    : m_implementation(std::make_unique<implementation>())
{
}

latency_summary::~latency_summary() = default;
latency_summary::latency_summary(latency_summary&&) noexcept = default;
latency_summary& latency_summary::operator=(latency_summary&&) noexcept = default;

void latency_summary::add(duration sample)
{
    const auto value = static_cast<double>(sample.count());
    m_implementation->estimator(value);
    if (m_implementation->firstSamples.size() < maxExactSamples)
        m_implementation->firstSamples.push_back(value);
}

std::uint64_t latency_summary::count() const { return acc::count(m_implementation->estimator); }

duration latency_summary::sum() const { return duration(std::llround(acc::sum(m_implementation->estimator))); }

duration latency_summary::p50() const { return m_implementation->quantile(0); }

duration latency_summary::p95() const { return m_implementation->quantile(1); }

duration latency_summary::p99() const { return m_implementation->quantile(2); }

} // namespace appleramp
