#include "stand_ins/table_store.h"

#include <algorithm>

namespace appleramp::stand_ins {

namespace {

constexpr std::uint32_t maxListedRows = 1000;

} // namespace

platform_result table_store::apply(const platform_call& call)
{
    const std::lock_guard lock(m_mutex);
    return std::visit([this](const auto& one) { return carryOut(one); }, call);
}

platform_result table_store::carryOut(const table_get& call)
{
    const auto found = m_rows.find(call.key);
    if (found == m_rows.end())
        return { platform_status::NotFound, {} };
    return { platform_status::Done, { found->second } };
}

platform_result table_store::carryOut(const table_put& call)
{
    const auto found = m_rows.find(call.key);
    const auto standing = found == m_rows.end() ? table_row { call.key, {}, 0 } : found->second;
    if (standing.version != call.expected)
        return { platform_status::Conflict, { standing } };
    table_row row { call.key, call.value, ++m_lastVersion };
    m_rows[call.key] = row;
    return { platform_status::Done, { std::move(row) } };
}

platform_result table_store::carryOut(const table_remove& call)
{
    const auto found = m_rows.find(call.key);
    if (found == m_rows.end())
        return { platform_status::NotFound, {} };
    if (found->second.version != call.expected)
        return { platform_status::Conflict, { found->second } };
    m_rows.erase(found);
    return { platform_status::Done, {} };
}

platform_result table_store::carryOut(const table_list& call)
{
    const auto limit = call.limit == 0 ? maxListedRows : std::min(call.limit, maxListedRows);
    platform_result result { platform_status::Done, {} };
    auto row = call.after < call.prefix ? m_rows.lower_bound(call.prefix) : m_rows.upper_bound(call.after);
    for (; row != m_rows.end() && row->first.starts_with(call.prefix) && result.rows.size() < limit; ++row)
        result.rows.push_back(row->second);
    return result;
}

platform_result table_store::carryOut(const object_get& call)
{
    const auto found = m_objects.find(call.key);
    if (found == m_objects.end())
        return { platform_status::NotFound, {} };
    return { platform_status::Done, { { call.key, found->second, 0 } } };
}

platform_result table_store::carryOut(const object_put& call)
{
    m_objects[call.key] = call.value;
    return { platform_status::Done, {} };
}

} // namespace appleramp::stand_ins
