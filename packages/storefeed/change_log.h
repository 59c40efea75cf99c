#pragma once

#include "ports/row_store.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <vector>

namespace appleramp {

// The latest changes of one table, kept so that this process can pass them on to others of its zone.
class change_log {
public:
    // The table was read whole at that version; earlier changes are not known.
    void reset(std::uint64_t generation, std::uint64_t version);
    // Changes up to that version.
    void append(std::span<const store_row> rows, std::uint64_t version);
    // The changes after a version; nothing if the log does not reach back to it or belongs to another generation.
    std::optional<std::vector<store_row>> since(std::uint64_t generation, std::uint64_t version) const;
    std::uint64_t version() const { return m_version; }
    std::uint64_t generation() const { return m_generation; }

    static constexpr std::size_t maxRows = 1024;
    static constexpr std::size_t maxBytes = 512UL * 1024;

private:
    void dropOldest();

    std::uint64_t m_generation = 0;
    // The log holds all changes after `m_after` up to `m_version`.
    std::uint64_t m_after = 0;
    std::uint64_t m_version = 0;
    std::deque<store_row> m_rows;
    std::size_t m_bytes = 0;
};

} // namespace appleramp
