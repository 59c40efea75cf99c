#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace appleramp {

// Version of one row of the table service. Zero means that the row does not exist.
using row_version = std::uint64_t;

// Names one call to the platform within one process.
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
// Writes the row only if its version is the expected one; zero: only if it does not exist.
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
// Rows whose keys begin with the prefix and come after a key, in ascending order.
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
    // The row's version was not the expected one; the row as it stands is in the reply.
    Conflict,
    NotFound,
    // The call certainly took no effect.
    Unavailable,
    // The reply was lost: the call may have taken effect.
    Unknown,
};

struct platform_result {
    platform_status status = platform_status::Unavailable;
    std::vector<table_row> rows;
};

} // namespace appleramp
