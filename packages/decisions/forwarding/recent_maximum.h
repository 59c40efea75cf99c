#pragma once

#include "model/time.h"

namespace appleramp {

// The largest of the durations that were recorded in the last one to two windows.
class recent_maximum {
public:
    explicit recent_maximum(duration window)
        : m_window(window)
    {
    }

    void record(instant now, duration value);
    // Zero if nothing was recorded.
    duration value(instant now);

private:
    void advance(instant now);

    duration m_window;
    instant m_windowStart;
    duration m_current {};
    duration m_previous {};
};

} // namespace appleramp
