#pragma once

#include "decisions/maps/popularity_observer.h"
#include "model/journal.h"

#include <cstdint>
#include <string>
#include <vector>

namespace appleramp {

enum class rank_condition {
    Healthy,
    // Clearly slower than the median rank.
    Slow,
    // Far slower than the median rank, or no longer reporting.
    Stalled,
};

// Estimates each rank's speed relative to the median rank, from the tokens it processed and the time that took.
//
// A rank whose reports stop counts as stalled. The map planner gives a slow rank less work. The text of explain() is
// written to the journal and shown to operators.
class rank_speed_observer {
public:
    explicit rank_speed_observer(std::uint32_t ranks);

    void observe(const rank_report& report);

    double speed(rank_index rank) const;
    rank_condition condition(rank_index rank) const;
    std::string explain(rank_index rank) const;
    // Returns a journal entry for each rank whose condition has changed since its last entry.
    std::vector<decision> journalChanges(instant now, const group_id& group);
    // Sets the speed of each rank in the shape. Returns true if a speed changed enough to require a new plan.
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
