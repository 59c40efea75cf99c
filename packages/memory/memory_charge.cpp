#include "memory/memory_charge.h"

#include "memory/memory_account.h"

#include <utility>

namespace appleramp {

memory_charge::memory_charge(std::shared_ptr<memory_account> account)
    : m_account(std::move(account))
{
}

memory_charge::~memory_charge() { resize(0); }

void memory_charge::resize(std::size_t bytes)
{
    if (!m_account || bytes == m_bytes)
        return;
    m_account->m_heldBytes += bytes;
    m_account->m_heldBytes -= std::exchange(m_bytes, bytes);
}

} // namespace appleramp
