#pragma once

#include "ports/row_store.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>

namespace appleramp {

// Order-independent hash of the keys and versions of a table's known rows: equal digests mean equal contents.
class table_digest {
public:
    void clear();
    // Applies rows of a full read or of changes; removed rows are taken out.
    void apply(std::span<const store_row> rows);
    std::uint64_t value() const { return m_value; }

private:
    std::map<std::string, std::uint64_t> m_versions;
    std::uint64_t m_value = 0;
};

} // namespace appleramp
