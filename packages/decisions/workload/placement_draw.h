#pragma once

#include <cstddef>
#include <span>

namespace appleramp {

struct placement_draw_query {
    // Cost of each option, by reports of the same age.
    std::span<const double> costs;
    // Cost that one more request adds to an option.
    double costPerRequest = 0;
    // Requests that all entries together place among these options within the age of the reports.
    double unseenRequests = 0;
    // In [0, 1): draws the option.
    double randomFraction = 0;
};

// Chooses an option by reports that other entries read as well.
//
// If each entry took the cheapest option, all would take the same one until the next report. Instead the requests that arrive
// within the age of the reports are spread so that they raise the cheapest options to the same cost, and each entry draws with
// these probabilities. Without such requests the cheapest option is chosen.
std::size_t drawPlacement(const placement_draw_query& query);

} // namespace appleramp
