#pragma once

#include "model/time.h"

#include <cstddef>
#include <deque>
#include <optional>

namespace appleramp {

// Estimates the queue wait of a new request from the rate at which requests of one service get slots at this entry.
class queue_wait_estimator {
public:
    void recordDispatch(instant now);
    // Expected wait behind this many queued requests. Empty if there are too few recent samples.
    std::optional<duration> expectedWait(std::size_t others, instant now) const;

private:
    std::deque<instant> m_recent;
};

} // namespace appleramp
