#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace appleramp {

// Version of a row in the table service. Zero means that the row does not exist.
using row_version = std::uint64_t;

// Identifies a call to the platform within one process.
using operation_number = std::uint64_t;

struct table_row {
    std::string key;
    std::string value;
    row_version version = 0;
};

struct table_get {
    static constexpr const char* name = "table_get";
    std::string key;
};
// Writes the row only if it has the expected version. Zero: only if the row does not exist.
struct table_put {
    static constexpr const char* name = "table_put";
    std::string key;
    std::string value;
    row_version expected = 0;
};
struct table_remove {
    static constexpr const char* name = "table_remove";
    std::string key;
    row_version expected = 0;
};
// Lists the rows whose keys have the prefix and sort after a given key, in ascending order.
struct table_list {
    static constexpr const char* name = "table_list";
    std::string prefix;
    std::string after;
    std::uint32_t limit = 0;
};
struct object_get {
    static constexpr const char* name = "object_get";
    std::string key;
};
struct object_put {
    static constexpr const char* name = "object_put";
    std::string key;
    std::string value;
};

using platform_call = std::variant<table_get, table_put, table_remove, table_list, object_get, object_put>;

enum class platform_status {
    Done,
    // The row did not have the expected version; the reply holds the current row.
    Conflict,
    NotFound,
    // The call certainly had no effect.
    Unavailable,
    // The reply was lost: the call may have had an effect.
    Unknown,
};

struct platform_result {
    platform_status status = platform_status::Unavailable;
    std::vector<table_row> rows;
};

} // namespace appleramp
