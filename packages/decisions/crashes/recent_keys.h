#pragma once

#include "model/crash_news.h"
#include "model/time.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <utility>

namespace appleramp {

// When each of the latest keys was last recorded; the oldest ones are forgotten.
class recent_keys {
public:
    explicit recent_keys(std::size_t capacity);

    void record(instant now, const suspect_key& key);
    std::optional<instant> lastRecordedAt(const suspect_key& key) const;

private:
    std::size_t m_capacity;
    std::map<suspect_key, instant> m_times;
    // The keys with times at which they were recorded, in the order of these.
    std::deque<std::pair<suspect_key, instant>> m_order;
};

} // namespace appleramp
