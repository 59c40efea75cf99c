#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <vector>

namespace appleramp {

// One branch of a broadcast: the relay gets the message and forwards it to the targets.
struct relay_branch {
    std::string relay;
    std::vector<std::string> targets;
};

// Splits the receivers of one zone into branches of about equal size, so that the sender and each relay send about the
// same number of copies. `round` rotates the relays, so that a relay that is gone does not cut off the same receivers
// every time. `largestBranch` counts the relay itself; one makes every receiver a branch of its own.
std::vector<relay_branch> relayBranches(std::span<const std::string> receivers, std::size_t largestBranch, std::size_t round);

// Branch size at which a broadcast to that many receivers over one relay takes the least time.
std::size_t balancedBranchSize(std::size_t receivers);

} // namespace appleramp
