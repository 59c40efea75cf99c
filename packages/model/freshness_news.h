#pragma once

#include "model/time.h"

#include <cstdint>
#include <vector>

namespace appleramp {

// Asks a reader of the store what it knows and how old that is.
struct freshness_question {
    // The asker's clock when it asked; echoed, so that the age counts from no later moment however long news travels.
    instant askedAt;
};

// Contents of one table that were current some time before the answer was sent.
struct table_confirmation {
    std::uint64_t digest = 0;
    duration age {};
};

struct freshness_answer {
    instant askedAt;
    // In the order in which all entries follow them.
    std::vector<table_confirmation> tables;
};

} // namespace appleramp
