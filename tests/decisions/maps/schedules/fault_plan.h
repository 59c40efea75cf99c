#pragma once

#include "model/time.h"

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace appleramp::testing {

enum class fault_kind {
    LoseMessage,
    DelayMessage,
    DoubleMessage,
    StallRank,
    KillEngine,
    RestartAgent,
    PauseAgent,
    // The paused agent's clock stands still, so that it still believes in its lease.
    PauseAgentAndClock,
    StoreOutage,
    StoreOutageAndHolderDeath,
};

// Whom a fault of a process strikes.
enum class fault_target {
    Sender,
    Receiver,
    Holder,
    Any,
};

// A fault that strikes when a message of one type is sent for the n-th time.
struct fault {
    fault_kind kind = fault_kind::LoseMessage;
    fault_target target = fault_target::Any;
    // Index of the message's type in map_message.
    std::size_t messageType = 0;
    std::uint32_t occurrence = 1;
    duration length {};
};

// Everything that goes wrong in one schedule, drawn from its seed.
struct fault_plan {
    std::uint32_t ranks = 3;
    bool enginesCheckFencing = false;
    double loss = 0;
    double doubling = 0;
    double lateness = 0;
    double lostTableReplies = 0;
    double falseInstalls = 0;
    // The store stays down to the end once it is down, unless an agent has yet to learn the fencing number.
    bool storeStaysDown = false;
    std::vector<fault> faults;
};

fault_plan drawPlan(std::mt19937_64& random);
std::string describe(const fault_plan& plan);

} // namespace appleramp::testing
