#include "storefeed/change_log.h"

#include <algorithm>
#include <iterator>

namespace appleramp {

void change_log::reset(std::uint64_t generation, std::uint64_t version)
{
    m_generation = generation;
    m_after = version;
    m_version = version;
    m_rows.clear();
    m_bytes = 0;
}

void change_log::append(std::span<const store_row> rows, std::uint64_t version)
{
    for (const store_row& row : rows) {
        m_rows.push_back(row);
        m_bytes += row.key.size() + row.value.size();
    }
    m_version = std::max(m_version, version);
    while (m_rows.size() > maxRows || m_bytes > maxBytes)
        dropOldest();
}

void change_log::dropOldest()
{
    const store_row& oldest = m_rows.front();
    m_after = std::max(m_after, oldest.version);
    m_bytes -= oldest.key.size() + oldest.value.size();
    m_rows.pop_front();
}

std::optional<std::vector<store_row>> change_log::since(std::uint64_t generation, std::uint64_t version) const
{
    if (generation != m_generation || version < m_after || version > m_version)
        return std::nullopt;
    std::vector<store_row> rows;
    std::copy_if(m_rows.begin(), m_rows.end(), std::back_inserter(rows), [version](const store_row& row) { return row.version > version; });
    return rows;
}

} // namespace appleramp
