#pragma once

#include "decisions/maps/popularity_observer.h"
#include "model/journal.h"

#include <cstdint>
#include <string>
#include <vector>

namespace appleramp {

enum class rank_condition {
    Sound,
    // Works, but clearly slower than the others.
    Slow,
    // Works far too slowly or has stopped reporting.
    Stalled,
};

// Estimates each rank's speed, relative to the median rank, from the work it did and the time that took.
//
// A rank whose reports stop counts as stalled. Map planning gives a slow rank less work; the text of explain() goes to
// the journal and to operators.
class rank_speed_observer {
public:
    explicit rank_speed_observer(std::uint32_t ranks);

    void observe(const rank_report& report);

    double speed(rank_index rank) const;
    rank_condition condition(rank_index rank) const;
    std::string explain(rank_index rank) const;
    // An entry for each rank whose condition is not the one that was journalled last.
    std::vector<decision> journalChanges(instant now, const group_id& group);
    // Sets the speed of each rank in the shape. True if one changed enough to plan anew.
    bool apply(group_shape& shape) const;

private:
    struct rank_record {
        double rate = 0;
        std::uint64_t lastWindow = 0;
        std::uint32_t reports = 0;
    };

    double medianRate() const;
    std::uint64_t missedWindows(rank_index rank) const;

    std::vector<rank_record> m_ranks;
    std::vector<rank_condition> m_journalled;
    std::uint64_t m_latestWindow = 0;
};

} // namespace appleramp
