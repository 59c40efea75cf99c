#pragma once

#include "model/journal.h"

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string_view>
#include <vector>

namespace appleramp {

// Ring buffer of the latest decisions, from which explain requests are answered. Once it is full, each new decision
// replaces the oldest one. Long texts are truncated. Thread-safe.
class decision_journal {
public:
    explicit decision_journal(std::size_t capacity);

    void record(decision);
    // The decisions on a subject that are still in the buffer, oldest first.
    std::vector<decision> find(std::string_view subject) const;
    // Number of decisions recorded since the start, including those that have been replaced.
    std::uint64_t recorded() const;

    // Subject and reason are truncated to this length.
    static constexpr std::size_t maxTextBytes = 512;

private:
    mutable std::mutex m_mutex;
    const std::size_t m_capacity;
    std::vector<decision> m_ring;
    std::uint64_t m_recorded = 0;
};

} // namespace appleramp
