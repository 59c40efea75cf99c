#pragma once

#include "model/time.h"

#include <cstdint>
#include <random>

namespace appleramp {

// Computes retry delays: exponential backoff up to a maximum, with jitter from a seeded random generator.
class backoff {
public:
    explicit backoff(std::uint64_t seed)
        : m_generator(seed)
    {
    }

    // Returns the delay before the next retry of a request that has been sent this many times.
    duration nextDelay(std::uint32_t sends);

private:
    std::mt19937_64 m_generator;
};

} // namespace appleramp
