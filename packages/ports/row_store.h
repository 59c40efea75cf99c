#pragma once

#include "model/time.h"

#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

namespace appleramp {

// A row of one of the store's tables, as of a version of the whole store.
struct store_row {
    std::string key;
    std::string value;
    std::uint64_t version = 0;
    // In changes only: the row is gone.
    bool removed = false;
};

struct store_rows {
    std::vector<store_row> rows;
    // Rows follow behind the last one.
    bool hasMore = false;
    // The newest version of the store that the rows include.
    std::uint64_t version = 0;
    // The store's steady clock when it composed the answer; zero if it did not say.
    duration storeTime {};
};

enum class store_failure {
    // No answer came; a write may have been carried out or may still be.
    NoAnswer,
    // The store did nothing and said so.
    Refused,
    // The condition of a write did not hold.
    Conflict,
    // Changes since the version asked for are not kept any more.
    HistoryGone,
    Unreadable,
};

using store_result = std::variant<store_rows, store_failure>;
using store_handler = std::function<void(store_result)>;

struct row_write {
    std::string table;
    std::string key;
    // Empty and `remove` set: the row is dropped.
    std::string value;
    bool remove = false;
};

struct row_condition {
    std::string table;
    std::string key;
    // Zero: there is no such row.
    std::uint64_t version = 0;
};

// The platform's linearizable store of rows: what outlives processes or must be agreed lies there.
class row_store {
public:
    row_store() = default;
    virtual ~row_store() = default;
    row_store(const row_store&) = delete;
    row_store& operator=(const row_store&) = delete;

    // The rows of a table from a key on, in the order of the keys.
    virtual void read(const std::string& table, const std::string& fromKey, store_handler done) = 0;
    // What changed after a version: answers at the first change, or without rows when the time is over.
    virtual void changes(const std::string& table, std::uint64_t afterVersion, duration wait, store_handler done) = 0;
    // All of the writes if all conditions hold, else none. A conflict's rows are not returned.
    virtual void write(const std::vector<row_condition>& conditions, const std::vector<row_write>& writes, store_handler done) = 0;
};

} // namespace appleramp
