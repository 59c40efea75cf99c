#include "decisions/admission/first_token_monitor.h"

#include <algorithm>
#include <vector>

namespace appleramp {

namespace {

constexpr std::size_t maxSamples = 32;
constexpr std::size_t minSamples = 5;
constexpr int lateMedianRatio = 4;
// Times up to this are never late, however small the median.
constexpr duration minLateTime = std::chrono::milliseconds(100);

} // namespace

void first_token_monitor::add(duration firstToken)
{
    m_recent.push_back(firstToken);
    if (m_recent.size() > maxSamples)
        m_recent.pop_front();
}

bool first_token_monitor::isLate(duration firstToken) const
{
    const auto recentMedian = median();
    return recentMedian && firstToken > minLateTime && firstToken > *recentMedian * lateMedianRatio;
}

std::optional<duration> first_token_monitor::median() const
{
    if (m_recent.size() < minSamples)
        return std::nullopt;
    std::vector<duration> sorted(m_recent.begin(), m_recent.end());
    const auto middle = sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2);
    std::nth_element(sorted.begin(), middle, sorted.end());
    return *middle;
}

} // namespace appleramp
