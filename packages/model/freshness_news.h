#pragma once

#include "model/time.h"

#include <cstdint>
#include <vector>

namespace appleramp {

// Asks the entry that reads the store for its zone which table contents it holds and how old they are.
struct freshness_question {
    // Send time by the asker's clock, echoed in the answer. Ages are counted from this moment, so that network delays
    // can only make contents look older than they are.
    instant askedAt;
};

// States that a table's contents with this digest were current at the given age before the answer was sent.
struct table_confirmation {
    std::uint64_t digest = 0;
    duration age {};
};

struct freshness_answer {
    instant askedAt;
    // In a fixed order that is the same at all entries.
    std::vector<table_confirmation> tables;
};

} // namespace appleramp
