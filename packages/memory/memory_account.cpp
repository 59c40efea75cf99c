#include "memory/memory_account.h"

namespace appleramp {

memory_account::memory_account(std::size_t limitBytes)
    : m_limitBytes(limitBytes)
{
}

std::size_t memory_account::shareOf(std::size_t holderBytes) const
{
    return holderBytes > smallBytes ? m_limitBytes - m_limitBytes / 4 : m_limitBytes;
}

} // namespace appleramp
