#include "decisions/keys/key_grants.h"

#include <algorithm>

namespace appleramp {

namespace {

constexpr std::uint32_t maxBlockSize = 4096;
constexpr duration blockLifetime = std::chrono::hours(1);

} // namespace

grant_key_block key_grants::grant(std::uint32_t count, instant now)
{
    const auto granted = std::min(count, maxBlockSize);
    const granted_block block { m_nextNumber, granted, now, now + blockLifetime };
    m_nextNumber += granted;
    if (granted > 0)
        m_blocks.push_back(block);
    return { block.first, block.count, blockLifetime, block.expires };
}

key_grants::key_status key_grants::validate(const issued_key& key, instant now, std::optional<instant> lastForgotten) const
{
    if (key.number == 0 || key.number >= m_nextNumber)
        return key_status::Invalid;
    const auto after = std::upper_bound(m_blocks.begin(), m_blocks.end(), key.number,
        [](std::uint64_t number, const auto& block) { return number < block.first; });
    if (after == m_blocks.begin())
        return key_status::Forgotten;
    const auto& block = *std::prev(after);
    if (block.expires != key.expires)
        return key_status::Invalid;
    if (lastForgotten && block.grantedAt <= *lastForgotten)
        return key_status::Forgotten;
    return now < block.expires ? key_status::Valid : key_status::Expired;
}

void key_grants::forgetThrough(instant lastForgotten)
{
    while (!m_blocks.empty() && m_blocks.front().grantedAt <= lastForgotten)
        m_blocks.pop_front();
}

} // namespace appleramp
