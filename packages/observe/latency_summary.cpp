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
constexpr std::size_t exactSamples = 128;

using accumulator = acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::extended_p_square>>;

} // namespace

struct latency_summary::implementation {
    accumulator estimate { acc::extended_p_square_probabilities = probabilities };
    std::vector<double> first;

    double exactQuantile(double probability) const
    {
        std::vector<double> sorted = first;
        std::sort(sorted.begin(), sorted.end());
        const auto rank = static_cast<std::size_t>(std::ceil(probability * static_cast<double>(sorted.size())));
        return sorted[std::max<std::size_t>(rank, 1) - 1];
    }

    duration quantile(std::ptrdiff_t index) const
    {
        const std::size_t samples = acc::count(estimate);
        if (samples == 0)
            return duration::zero();
        const bool exact = samples <= exactSamples;
        const double value = exact ? exactQuantile(probabilities.at(static_cast<std::size_t>(index))) : acc::extended_p_square(estimate)[index];
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
    m_implementation->estimate(value);
    if (m_implementation->first.size() < exactSamples)
        m_implementation->first.push_back(value);
}

std::uint64_t latency_summary::count() const { return acc::count(m_implementation->estimate); }

duration latency_summary::sum() const { return duration(std::llround(acc::sum(m_implementation->estimate))); }

duration latency_summary::p50() const { return m_implementation->quantile(0); }

duration latency_summary::p95() const { return m_implementation->quantile(1); }

duration latency_summary::p99() const { return m_implementation->quantile(2); }

} // namespace appleramp
