#include "decisions/admission/queue_wait_estimator.h"

namespace appleramp {

namespace {

constexpr std::size_t maxSamples = 32;
constexpr std::size_t minSamples = 8;
constexpr duration maxWindow = std::chrono::seconds(5);

} // namespace

void queue_wait_estimator::recordDispatch(instant now)
{
    m_recent.push_back(now);
    if (m_recent.size() > maxSamples)
        m_recent.pop_front();
}

std::optional<duration> queue_wait_estimator::expectedWait(std::size_t others, instant now) const
{
    if (m_recent.size() < minSamples || m_recent.front() + maxWindow < now)
        return std::nullopt;
    const auto meanInterval = (now - m_recent.front()) / static_cast<std::int64_t>(m_recent.size());
    return meanInterval * static_cast<std::int64_t>(others + 1);
}

} // namespace appleramp
