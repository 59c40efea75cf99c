#pragma once

#include "model/time.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace appleramp {

// A row of one of the store's tables. Versions count changes of the whole store.
struct store_row {
    std::string key;
    std::string value;
    std::uint64_t version = 0;
    // In changes only: the row was deleted.
    bool removed = false;
};

struct store_rows {
    std::vector<store_row> rows;
    // The table has more rows after the last one.
    bool hasMore = false;
    // The newest version of the store that the rows include.
    std::uint64_t version = 0;
    // Rises each time the store comes back from an older copy. Versions of different generations can't be compared. Zero if
    // the store does not say.
    std::uint64_t generation = 0;
    // The store's steady clock when it composed the answer; zero if the answer carries no time.
    duration storeTime {};
    // Set if another process passed the rows on: how long ago it knew them to be current.
    std::optional<duration> age;
};

enum class store_failure {
    // No answer came; a write may have been executed or may still be.
    NoResponse,
    // The store answered that it did not execute the call.
    Refused,
    // A condition of a write did not hold.
    Conflict,
    // The store no longer keeps the changes since the requested version.
    HistoryTruncated,
    Malformed,
};

using store_result = std::variant<store_rows, store_failure>;
using store_handler = std::function<void(store_result)>;

struct row_write {
    std::string table;
    std::string key;
    // Empty if `remove` is set, which deletes the row.
    std::string value;
    bool remove = false;
};

struct row_condition {
    std::string table;
    std::string key;
    // Zero requires that the row does not exist.
    std::uint64_t version = 0;
};

// The platform's linearizable row store. It holds what must outlive processes or be agreed between them.
class row_store {
public:
    row_store() = default;
    virtual ~row_store() = default;
    row_store(const row_store&) = delete;
    row_store& operator=(const row_store&) = delete;

    // Reads rows of a table in key order, starting at `fromKey`.
    virtual void read(const std::string& table, const std::string& fromKey, store_handler done) = 0;
    // Long poll for the changes after a version: answers at the first change, or without rows after `wait`.
    virtual void changes(const std::string& table, std::uint64_t afterVersion, duration wait, store_handler done) = 0;
    // Executes all writes atomically if all conditions hold, otherwise none. A conflict does not return the current rows.
    virtual void write(const std::vector<row_condition>& conditions, const std::vector<row_write>& writes, store_handler done) = 0;
};

} // namespace appleramp
