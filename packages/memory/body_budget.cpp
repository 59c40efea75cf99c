#include "memory/body_budget.h"

#include "memory/memory_account.h"

namespace appleramp {

body_budget::reservation::reservation(body_budget& budget, std::size_t bytes)
    : m_mutex(budget.m_mutex)
    , m_charge(budget.m_account)
{
    m_charge.resize(bytes);
}

body_budget::reservation::~reservation()
{
    const std::lock_guard lock(m_mutex);
    m_charge.resize(0);
}

body_budget::body_budget(std::size_t limitBytes)
    : m_account(std::make_shared<memory_account>(limitBytes))
{
}

std::unique_ptr<body_budget::reservation> body_budget::reserve(std::size_t bytes)
{
    const std::lock_guard lock(m_mutex);
    return m_account->hasRoomFor(bytes, bytes) ? std::make_unique<reservation>(*this, bytes) : nullptr;
}

} // namespace appleramp
