#pragma once

#include "model/platform_call.h"

#include <map>
#include <mutex>
#include <string>

namespace appleramp::stand_ins {

// The platform's table and object store in memory. Versions grow over the whole table and are never used again.
class table_store {
public:
    platform_result apply(const platform_call& call);

private:
    platform_result carryOut(const table_get& call);
    platform_result carryOut(const table_put& call);
    platform_result carryOut(const table_remove& call);
    platform_result carryOut(const table_list& call);
    platform_result carryOut(const object_get& call);
    platform_result carryOut(const object_put& call);

    std::mutex m_mutex;
    row_version m_lastVersion = 0;
    std::map<std::string, table_row> m_rows;
    std::map<std::string, std::string> m_objects;
};

} // namespace appleramp::stand_ins
