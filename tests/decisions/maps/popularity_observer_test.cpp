#include "decisions/maps/popularity_observer.h"

#include "decisions/maps/groups.h"

#include <criterion/criterion.h>

#include <random>

using namespace appleramp;
using namespace appleramp::testing;

namespace {

constexpr std::uint16_t ranks = 4;
constexpr std::uint16_t experts = 8;

// Reports windows of token counts for all ranks, with seeded log-normal noise.
class reporter {
public:
    explicit reporter(double noise = 0.02)
        : m_noise(0, noise)
    {
        weights.assign(experts, 1.0);
    }

    rank_report report(rank_index rank, std::uint64_t window)
    {
        rank_report result { rank, window, {}, 1000, std::chrono::milliseconds(1) };
        for (const auto weight : weights)
            result.counts.push_back(std::uint32_t(weight * 100'000 * std::exp(m_noise(m_random))));
        return result;
    }

    void reportWindows(popularity_observer& observer, int windows)
    {
        for (int i = 0; i < windows; ++i, ++m_window) {
            for (rank_index rank = 0; rank < ranks; ++rank)
                observer.observe(report(rank, m_window));
        }
    }

    std::vector<double> weights;

private:
    std::mt19937_64 m_random { 5 };
    std::normal_distribution<double> m_noise;
    std::uint64_t m_window = 0;
};

popularity_observer makeObserver()
{
    return popularity_observer(makeGroup(ranks, experts, 3, 1));
}

} // namespace

Test(popularity_observer, follows_the_share_of_each_expert)
{
    auto observer = makeObserver();
    reporter reporter;
    reporter.weights[0] = 3;
    reporter.reportWindows(observer, 20);
    cr_assert_float_eq(observer.loads()[0], 0.3, 0.01);
    cr_assert_float_eq(observer.loads()[1], 0.1, 0.005);
}

Test(popularity_observer, a_missing_rank_does_not_distort)
{
    auto observer = makeObserver();
    reporter reporter;
    reporter.weights[0] = 3;
    for (std::uint64_t window = 0; window < 10; ++window) {
        for (rank_index rank = 1; rank < ranks; ++rank)
            observer.observe(reporter.report(rank, window));
    }
    cr_assert_eq(observer.closedWindows(), 8);
    cr_assert_float_eq(observer.loads()[0], 0.3, 0.01);
}

Test(popularity_observer, a_window_without_quorum_is_discarded)
{
    auto observer = makeObserver();
    reporter reporter;
    for (std::uint64_t window = 0; window < 5; ++window)
        observer.observe(reporter.report(0, window));
    cr_assert_eq(observer.closedWindows(), 0);
    cr_assert_eq(observer.discardedWindows(), 3);
    cr_assert_not(observer.ready());
}

Test(popularity_observer, late_and_doubled_reports_change_nothing)
{
    auto observer = makeObserver();
    reporter reporter;
    reporter.reportWindows(observer, 5);
    const std::vector<double> before(observer.loads().begin(), observer.loads().end());
    reporter.weights[0] = 50;
    observer.observe(reporter.report(0, 2));
    for (int i = 0; i < 4; ++i)
        observer.observe(reporter.report(1, 5));
    cr_assert_eq(observer.lateReports(), 1);
    cr_assert(std::ranges::equal(before, observer.loads()));
    cr_assert_eq(observer.closedWindows(), 5);
}

Test(popularity_observer, tells_a_spike_from_a_lasting_change)
{
    auto observer = makeObserver();
    reporter reporter;
    reporter.reportWindows(observer, 30);
    reporter.weights[0] = 4;
    reporter.reportWindows(observer, 1);
    cr_assert_eq(observer.change(), popularity_change::Spike);
    cr_assert_lt(observer.loads()[0], 0.15);
    reporter.weights[0] = 1;
    reporter.reportWindows(observer, 2);
    cr_assert_lt(observer.loads()[0], 0.15);

    reporter.weights[0] = 4;
    reporter.reportWindows(observer, 3);
    cr_assert_eq(observer.change(), popularity_change::Drift);
    reporter.reportWindows(observer, 5);
    cr_assert_float_eq(observer.loads()[0], 4.0 / 11, 0.03);
}

Test(popularity_observer, noise_is_neither_drift_nor_spike)
{
    auto observer = makeObserver();
    reporter reporter(0.3);
    reporter.reportWindows(observer, 30);
    int moved = 0;
    for (int i = 0; i < 100; ++i) {
        reporter.reportWindows(observer, 1);
        moved += observer.change() == popularity_change::Drift || observer.change() == popularity_change::Spike;
    }
    cr_assert_leq(moved, 15);
}
