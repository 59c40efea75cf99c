#include "decisions/maps/transfer_budget.h"

#include <algorithm>

namespace appleramp {

namespace {

constexpr auto minFill = 0.05;

} // namespace

transfer_budget::transfer_budget(std::uint64_t bytesPerSecond, std::uint64_t burstBytes)
    : m_bytesPerSecond(bytesPerSecond)
    , m_burstBytes(burstBytes)
    , m_bytes(double(burstBytes))
{
}

std::uint64_t transfer_budget::available(instant now) const
{
    const auto elapsed = std::max(duration::zero(), now - m_updated);
    const auto refilled = m_bytes + std::chrono::duration<double>(elapsed).count() * double(m_bytesPerSecond);
    return std::uint64_t(std::min(refilled, double(m_burstBytes)));
}

double transfer_budget::priceFactor(instant now) const
{
    const auto fill = double(available(now)) / double(m_burstBytes);
    return 1.0 / std::max(fill, minFill);
}

bool transfer_budget::reserve(instant now, std::uint64_t bytes)
{
    const auto availableBytes = available(now);
    if (bytes > availableBytes)
        return false;
    m_bytes = double(availableBytes - bytes);
    m_updated = std::max(now, m_updated);
    return true;
}

void transfer_budget::release(std::uint64_t bytes)
{
    m_bytes = std::min(m_bytes + double(bytes), double(m_burstBytes));
}

} // namespace appleramp
