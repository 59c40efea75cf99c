#pragma once

#include "model/time.h"

#include <cstdint>

namespace appleramp {

// Estimates how many prompt tokens an engine has yet to read, from the memory that its load reports state.
//
// The memory for a prompt is taken when its request starts, so that a jump of the memory in use shows a prompt, which is then read
// at the engine's rate. Where the memory grows only as prompts are read, the jumps are small and the estimate stays near zero.
class unread_prompts {
public:
    void recordReport(instant now, std::uint64_t memoryUsed, double tokensPerSecond);
    double tokens(instant now, double tokensPerSecond) const;

private:
    double m_tokens = 0;
    instant m_updatedAt;
    std::uint64_t m_memoryUsed = 0;
    bool m_hasReport = false;
};

} // namespace appleramp
