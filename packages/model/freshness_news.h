#pragma once

#include "model/time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace appleramp {

// Asks the entry that reads the store for its zone which table contents it holds and how old they are.
struct freshness_question {
    // Send time by the asker's clock, echoed in the answer. Ages are counted from this moment, so that network delays
    // can only make contents look older than they are.
    instant askedAt;
};

// States that a table's contents with this digest were current at the given age before the question was received, or before the answer
// was composed. Negative if they were read after the question had come.
struct table_confirmation {
    std::uint64_t digest = 0;
    duration age {};
};

struct freshness_answer {
    instant askedAt;
    // In a fixed order that is the same at all entries.
    std::vector<table_confirmation> tables;
};

// How calls to the store fail.
enum class store_symptom {
    None,
    // No answer comes.
    Silent,
    // Connections fail at once.
    Broken,
    // The store answers that it does not execute the call.
    Refused,
};

constexpr std::string_view nameOf(store_symptom symptom)
{
    switch (symptom) {
    case store_symptom::None:
        break;
    case store_symptom::Silent:
        return "silent";
    case store_symptom::Broken:
        return "broken";
    case store_symptom::Refused:
        return "refused";
    }
    return "none";
}

// Tells the other entries of the zone whether the store answers the sender. It confirms no contents.
struct store_notice {
    std::string sender;
    bool isServed = false;
    // Rises with each change of the prober and of `isServed`; a notice with a lower one is out of date.
    std::uint32_t turn = 0;
    // The entry that probes the store for the zone.
    std::string prober;
    // Since the sender knows the store to have answered an entry.
    duration servedAge {};
    std::uint32_t failures = 0;
    store_symptom symptom = store_symptom::None;
};

} // namespace appleramp
