#pragma once

#include "model/time.h"

#include <cstddef>
#include <deque>
#include <optional>

namespace appleramp {

// Measures how fast requests of one service get slots at this entry, and tells from it how long a new one would wait.
class turnover_meter {
public:
    void placed(instant now);
    // Expected wait behind so many others; nothing while too little is known.
    std::optional<duration> waitBehind(std::size_t others, instant now) const;

private:
    std::deque<instant> m_recent;
};

} // namespace appleramp
