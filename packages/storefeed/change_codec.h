#pragma once

#include "ports/row_store.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace appleramp {

// A question for the changes of a table that another process has read, and its path as an HTTP request target.
struct changes_question {
    std::string table;
    std::uint64_t generation = 0;
    std::uint64_t afterVersion = 0;
};

std::string encodeChangesTarget(const changes_question& question);
// Returns nothing if the target is not what encodeChangesTarget() writes.
std::optional<changes_question> decodeChangesTarget(std::string_view target);

// Changes as a CBOR document, with the age of the reader's knowledge.
std::string encodeChanges(const store_rows& rows);
std::optional<store_rows> decodeChanges(std::string_view bytes);

} // namespace appleramp
