#pragma once

#include "model/time.h"

#include <cstddef>
#include <deque>

namespace appleramp {

// Counts sends in a sliding window.
class arrival_rate {
public:
    explicit arrival_rate(duration window)
        : m_window(window)
    {
    }

    void note(instant now);
    std::size_t count(instant now);

private:
    duration m_window;
    std::deque<instant> m_sends;
};

} // namespace appleramp
