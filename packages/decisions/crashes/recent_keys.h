#pragma once

#include "model/crash_news.h"
#include "model/time.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>

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
    // In the order in which the keys became known.
    std::deque<suspect_key> m_order;
};

} // namespace appleramp
