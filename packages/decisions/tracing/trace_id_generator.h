#pragma once

#include <cstdint>
#include <random>

namespace appleramp {

// Generates trace and span ids for trace_context. It is part of a reducer's state and deterministic, so that a replay
// with the same seed gives the same ids.
class trace_id_generator {
public:
    explicit trace_id_generator(std::uint64_t seed);

    // Never zero: an all-zero id is invalid in W3C Trace Context.
    std::uint64_t next();

private:
    std::mt19937_64 m_random;
};

} // namespace appleramp
