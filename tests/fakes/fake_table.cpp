#include "fakes/fake_table.h"

namespace appleramp::tests {

platform_result fake_table::execute(const platform_call& call)
{
    return std::visit([this](const auto& specific) { return (*this)(specific); }, call);
}

platform_result fake_table::operator()(const table_get& call)
{
    ++m_reads;
    const auto found = m_rows.find(call.key);
    if (found == m_rows.end())
        return { platform_status::NotFound, {} };
    return { platform_status::Done, { found->second } };
}

platform_result fake_table::operator()(const table_put& call)
{
    ++m_writes;
    const auto found = m_rows.find(call.key);
    const auto standing = found == m_rows.end() ? 0 : found->second.version;
    if (standing != call.expected)
        return found == m_rows.end() ? platform_result { platform_status::NotFound, {} }
                                     : platform_result { platform_status::Conflict, { found->second } };
    const table_row row { call.key, call.value, ++m_lastVersion };
    m_rows[call.key] = row;
    return { platform_status::Done, { row } };
}

platform_result fake_table::operator()(const table_remove& call)
{
    ++m_writes;
    const auto found = m_rows.find(call.key);
    if (found == m_rows.end())
        return { platform_status::NotFound, {} };
    if (found->second.version != call.expected)
        return { platform_status::Conflict, { found->second } };
    m_rows.erase(found);
    return { platform_status::Done, {} };
}

platform_result fake_table::operator()(const table_list& call)
{
    ++m_reads;
    platform_result result { platform_status::Done, {} };
    for (auto row = m_rows.upper_bound(std::max(call.prefix, call.after)); row != m_rows.end(); ++row) {
        if (!row->first.starts_with(call.prefix) || result.rows.size() == call.limit)
            break;
        result.rows.push_back(row->second);
    }
    return result;
}

platform_result fake_table::operator()(const object_get& call)
{
    ++m_reads;
    const auto found = m_objects.find(call.key);
    if (found == m_objects.end())
        return { platform_status::NotFound, {} };
    return { platform_status::Done, { { call.key, found->second, 1 } } };
}

platform_result fake_table::operator()(const object_put& call)
{
    ++m_writes;
    m_objects[call.key] = call.value;
    return { platform_status::Done, {} };
}

} // namespace appleramp::tests
