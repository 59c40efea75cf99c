#include "memory/body_budget.h"

namespace appleramp {

body_budget::reservation::reservation(body_budget& budget, std::size_t bytes)
    : m_budget(budget)
    , m_bytes(bytes)
{
}

body_budget::reservation::~reservation()
{
    const std::lock_guard lock(m_budget.m_mutex);
    m_budget.m_reservedBytes -= m_bytes;
}

body_budget::body_budget(std::size_t limitBytes)
    : m_limitBytes(limitBytes)
{
}

std::unique_ptr<body_budget::reservation> body_budget::reserve(std::size_t bytes)
{
    const std::lock_guard lock(m_mutex);
    // Large bodies leave a quarter to ordinary ones.
    const std::size_t share = bytes > memory_account::smallBytes ? m_limitBytes - m_limitBytes / 4 : m_limitBytes;
    if (m_reservedBytes + bytes > share)
        return nullptr;
    m_reservedBytes += bytes;
    return std::make_unique<reservation>(*this, bytes);
}

} // namespace appleramp
