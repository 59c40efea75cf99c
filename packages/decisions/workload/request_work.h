#pragma once

#include "model/time.h"

#include <cstdint>

namespace appleramp {

struct request_size {
    std::uint32_t promptTokens = 0;
    // Tokens that the answer is expected to have.
    std::uint32_t answerTokens = 0;
};

// Expected work of one request at one endpoint.
struct request_work {
    // Time to read the prompt.
    duration promptTime {};
    // Time for which the request occupies a slot, with the time to read its prompt.
    duration slotTime {};
    std::uint64_t memoryTokens = 0;
};

} // namespace appleramp
