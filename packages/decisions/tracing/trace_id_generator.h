#pragma once

#include <cstdint>
#include <random>

namespace appleramp {

// Yields trace and span ids for trace_context. It is part of a reducer's state: the same seed gives the same ids.
class trace_id_generator {
public:
    explicit trace_id_generator(std::uint64_t seed);

    // Never zero, which stands for no id in the W3C trace context.
    std::uint64_t next();

private:
    std::mt19937_64 m_random;
};

} // namespace appleramp
