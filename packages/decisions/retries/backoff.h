#pragma once

#include "model/time.h"

#include <cstdint>
#include <random>

namespace appleramp {

// Waits before retries: growing with each, with jitter from a seeded generator.
class backoff {
public:
    explicit backoff(std::uint64_t seed)
        : m_generator(seed)
    {
    }

    // Wait before the retry that follows this many sends.
    duration next(std::uint32_t sends);

private:
    std::mt19937_64 m_generator;
};

} // namespace appleramp
