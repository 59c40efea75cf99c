#pragma once

#include "ports/row_store.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>

namespace appleramp {

// Sums up which rows of a table are known and in which versions: equal digests mean equal contents.
class table_digest {
public:
    void clear();
    // Rows of a read, or changes; dropped rows among them.
    void note(std::span<const store_row> rows);
    std::uint64_t value() const { return m_value; }

private:
    std::map<std::string, std::uint64_t> m_versions;
    std::uint64_t m_value = 0;
};

} // namespace appleramp
