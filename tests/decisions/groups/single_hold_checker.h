#pragma once

#include "decisions/groups/group_agent.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace appleramp {

// A small group whose interleavings are all tried.
struct checked_group {
    std::uint32_t ranks = 2;
    // Requests that coordinators have sent; a request with a holder comes with the order to hold that rank.
    std::vector<switch_request> requests;
    // Agents that restart, in all.
    unsigned restarts = 0;
    // Times that an agent's clock passes its next time limit, for each agent.
    unsigned timeouts = 1;
    // A coordinator orders the prepared map of this rank to be replaced, as its agent seems silent.
    std::optional<std::uint32_t> replacedRank;
    // Whether the last rank's agent does not use single holds.
    bool hasOldAgent = false;
    std::uint64_t maxStates = 0;
};

struct check_result {
    std::uint64_t states = 0;
    std::uint64_t transitions = 0;
    // Passes that began with different maps, and passes at which the map changed at all ranks.
    std::uint64_t mixedPasses = 0;
    std::uint64_t committedPasses = 0;
    // States in which the hold was released after an abort.
    std::uint64_t abortedPasses = 0;
    bool isComplete = false;
    // The steps to the first mixed pass.
    std::vector<std::string> steps;
};

// Tries every interleaving of the agents' steps, deliveries, orders and passes.
//
// A message that was sent can be delivered at any later time, any number of times or never, and an order can be carried out
// so. This covers lost, late and doubled ones, and agents that freeze, as an agent need not take its next step. Besides the
// agents, coordinators act: they send any outcome that the statuses sent so far prove, however old these are, and order the
// engines accordingly.
check_result checkSingleHold(const checked_group& group);

} // namespace appleramp
