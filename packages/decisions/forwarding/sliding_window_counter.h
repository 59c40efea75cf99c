#pragma once

#include "model/time.h"

#include <cstddef>
#include <deque>

namespace appleramp {

// Counts events in a sliding time window.
class sliding_window_counter {
public:
    explicit sliding_window_counter(duration window)
        : m_window(window)
    {
    }

    void record(instant now);
    std::size_t count(instant now);

private:
    duration m_window;
    std::deque<instant> m_events;
};

} // namespace appleramp
