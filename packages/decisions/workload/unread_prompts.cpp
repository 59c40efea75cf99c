#include "decisions/workload/unread_prompts.h"

#include <algorithm>

namespace appleramp {

void unread_prompts::recordReport(instant now, std::uint64_t memoryUsed, double tokensPerSecond)
{
    const double jump = m_hasReport && memoryUsed > m_memoryUsed ? static_cast<double>(memoryUsed - m_memoryUsed) : 0;
    m_tokens = std::min(tokens(now, tokensPerSecond) + jump, static_cast<double>(memoryUsed));
    m_updatedAt = now;
    m_memoryUsed = memoryUsed;
    m_hasReport = true;
}

double unread_prompts::tokens(instant now, double tokensPerSecond) const
{
    const double read = tokensPerSecond * std::chrono::duration<double>(now - m_updatedAt).count();
    return std::max(0.0, m_tokens - read);
}

} // namespace appleramp
