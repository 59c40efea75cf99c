#include "storefeed/table_digest.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace appleramp {

namespace {

std::uint64_t rowDigest(const std::string& key, std::uint64_t version)
{
    return XXH3_64bits_withSeed(key.data(), key.size(), version);
}

} // namespace

void table_digest::clear()
{
    m_versions.clear();
    m_value = 0;
}

void table_digest::apply(std::span<const store_row> rows)
{
    for (const store_row& row : rows) {
        const auto known = m_versions.find(row.key);
        if (known != m_versions.end()) {
            m_value -= rowDigest(row.key, known->second);
            m_versions.erase(known);
        }
        if (row.removed)
            continue;
        m_versions.emplace(row.key, row.version);
        m_value += rowDigest(row.key, row.version);
    }
}

} // namespace appleramp
