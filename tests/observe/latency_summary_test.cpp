#include "observe/latency_summary.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <cmath>
#include <random>
#include <vector>

using namespace appleramp;

namespace {

void assertNear(duration estimate, std::int64_t exact, double tolerance)
{
    const double error = std::abs(static_cast<double>(estimate.count() - exact)) / static_cast<double>(exact);
    cr_assert(error <= tolerance, "%ld instead of %ld", static_cast<long>(estimate.count()), static_cast<long>(exact));
}

} // namespace

Test(latency_summary, nothing_is_zero)
{
    const latency_summary summary;
    cr_assert_eq(summary.count(), 0u);
    cr_assert(summary.p99() == duration::zero());
}

Test(latency_summary, few_samples_are_exact)
{
    latency_summary summary;
    for (int i = 100; i >= 1; --i)
        summary.add(duration(i));
    cr_assert(summary.p50() == duration(50));
    cr_assert(summary.p95() == duration(95));
    cr_assert(summary.p99() == duration(99));
    cr_assert(summary.sum() == duration(5050));
}

Test(latency_summary, many_samples_are_near_the_exact_quantiles)
{
    latency_summary summary;
    std::mt19937_64 random(5);
    std::lognormal_distribution<double> latency(8.0, 0.7);
    std::vector<std::int64_t> all;
    for (int i = 0; i < 100'000; ++i) {
        const auto sample = std::llround(latency(random));
        all.push_back(sample);
        summary.add(duration(sample));
    }
    std::sort(all.begin(), all.end());
    assertNear(summary.p50(), all[50'000], 0.05);
    assertNear(summary.p95(), all[95'000], 0.05);
    assertNear(summary.p99(), all[99'000], 0.05);
}
