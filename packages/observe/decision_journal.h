#pragma once

#include "model/journal.h"

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string_view>
#include <vector>

namespace appleramp {

// Keeps the latest decisions in bounded memory, for explain. The oldest make room for new ones, and long texts are cut.
// Threads may share it.
class decision_journal {
public:
    explicit decision_journal(std::size_t capacity);

    void record(decision);
    // Decisions on a subject that are still kept, oldest first.
    std::vector<decision> find(std::string_view subject) const;
    // Decisions recorded since the start, the dropped ones included.
    std::uint64_t recorded() const;

    // Longest subject and reason that are kept.
    static constexpr std::size_t maxTextBytes = 512;

private:
    mutable std::mutex m_mutex;
    const std::size_t m_capacity;
    std::vector<decision> m_ring;
    std::uint64_t m_recorded = 0;
};

} // namespace appleramp
