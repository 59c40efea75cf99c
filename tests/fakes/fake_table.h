#pragma once

#include "model/platform_call.h"

#include <functional>
#include <map>
#include <string>

namespace appleramp::tests {

// The platform's table service and object store, in memory. It always answers: schedule_world simulates outages and
// lost replies.
class fake_table {
public:
    platform_result execute(const platform_call& call);

    const std::map<std::string, table_row>& rows() const { return m_rows; }
    std::uint64_t writes() const { return m_writes; }
    std::uint64_t reads() const { return m_reads; }

private:
    platform_result operator()(const table_get& call);
    platform_result operator()(const table_put& call);
    platform_result operator()(const table_remove& call);
    platform_result operator()(const table_list& call);
    platform_result operator()(const object_get& call);
    platform_result operator()(const object_put& call);

    std::map<std::string, table_row> m_rows;
    std::map<std::string, std::string> m_objects;
    row_version m_lastVersion = 0;
    std::uint64_t m_writes = 0;
    std::uint64_t m_reads = 0;
};

} // namespace appleramp::tests
