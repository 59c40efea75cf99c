#include "decisions/maps/rank_speed_observer.h"

#include <algorithm>
#include <cmath>

namespace appleramp {

namespace {

constexpr auto rateSmoothing = 0.3;
constexpr auto slowSpeed = 0.9;
constexpr auto stalledSpeed = 0.4;
constexpr auto minSpeed = 0.05;
constexpr auto maxSpeed = 2.0;
constexpr std::uint64_t stalledAfterWindows = 3;
// Speeds are rounded to multiples of this, so that noise does not move experts.
constexpr auto speedStep = 0.05;

} // namespace

rank_speed_observer::rank_speed_observer(std::uint32_t ranks)
    : m_ranks(ranks)
    , m_journalled(ranks, rank_condition::Healthy)
{
}

void rank_speed_observer::observe(const rank_report& report)
{
    if (report.rank >= m_ranks.size())
        return;
    auto& record = m_ranks[report.rank];
    if (record.reports > 0 && report.window <= record.lastWindow)
        return;
    record.lastWindow = report.window;
    m_latestWindow = std::max(m_latestWindow, report.window);
    if (report.busy <= duration::zero() || report.processed == 0)
        return;
    const auto rate = double(report.processed) / double(report.busy.count());
    record.rate = record.reports == 0 ? rate : record.rate + rateSmoothing * (rate - record.rate);
    ++record.reports;
}

double rank_speed_observer::medianRate() const
{
    std::vector<double> rates;
    for (const auto& record : m_ranks) {
        if (record.reports > 0)
            rates.push_back(record.rate);
    }
    if (rates.empty())
        return 0;
    const auto middle = rates.begin() + std::ptrdiff_t(rates.size() / 2);
    std::ranges::nth_element(rates, middle);
    return *middle;
}

std::uint64_t rank_speed_observer::missedWindows(rank_index rank) const
{
    return m_latestWindow - m_ranks[rank].lastWindow;
}

double rank_speed_observer::speed(rank_index rank) const
{
    if (missedWindows(rank) >= stalledAfterWindows)
        return minSpeed;
    const auto median = medianRate();
    if (m_ranks[rank].reports == 0 || median <= 0)
        return 1.0;
    const auto relative = m_ranks[rank].rate / median;
    const auto stepped = std::round(relative / speedStep) * speedStep;
    return std::clamp(stepped, minSpeed, maxSpeed);
}

rank_condition rank_speed_observer::condition(rank_index rank) const
{
    const auto current = speed(rank);
    if (current < stalledSpeed)
        return rank_condition::Stalled;
    return current < slowSpeed ? rank_condition::Slow : rank_condition::Healthy;
}

std::string rank_speed_observer::explain(rank_index rank) const
{
    const auto name = "rank " + std::to_string(rank);
    if (missedWindows(rank) >= stalledAfterWindows)
        return name + " stalled: no report for " + std::to_string(missedWindows(rank)) + " windows";
    const auto percent = std::to_string(std::lround(speed(rank) * 100)) + "% of the median rank's speed";
    switch (condition(rank)) {
    case rank_condition::Stalled:
        return name + " stalled: works at " + percent;
    case rank_condition::Slow:
        return name + " slow: works at " + percent;
    case rank_condition::Healthy:
        break;
    }
    return name + " sound: works at " + percent;
}

std::vector<decision> rank_speed_observer::journalChanges(instant now, const group_id& group)
{
    std::vector<decision> entries;
    for (std::size_t index = 0; index < m_ranks.size(); ++index) {
        const auto rank = rank_index(index);
        const auto current = condition(rank);
        if (current == m_journalled[rank])
            continue;
        m_journalled[rank] = current;
        entries.push_back({ now, decision_kind::ExpertMap, group.str(), explain(rank) });
    }
    return entries;
}

bool rank_speed_observer::apply(group_shape& shape) const
{
    bool changed = false;
    for (std::size_t index = 0; index < m_ranks.size(); ++index) {
        const auto rank = rank_index(index);
        const auto current = speed(rank);
        changed = changed || std::abs(shape.ranks[rank].speed - current) >= speedStep / 2;
        shape.ranks[rank].speed = current;
    }
    return changed;
}

} // namespace appleramp
