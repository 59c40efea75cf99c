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
    DuplicateMessage,
    StallRank,
    KillEngine,
    RestartAgent,
    PauseAgent,
    // The paused agent's clock stops as well, so that the agent still considers its lease valid when it continues.
    PauseAgentAndClock,
    StoreOutage,
    StoreOutageAndHolderDeath,
};

// The rank that a fault of an agent or an engine affects.
enum class fault_target {
    Sender,
    Receiver,
    Holder,
    Any,
};

// A fault that occurs when a message of one type is sent for the n-th time.
struct fault {
    fault_kind kind = fault_kind::LoseMessage;
    fault_target target = fault_target::Any;
    // Index of the message's type in map_message.
    std::size_t messageType = 0;
    std::uint32_t occurrence = 1;
    duration length {};
};

// All faults of one schedule, drawn from its seed.
struct fault_plan {
    std::uint32_t ranks = 3;
    bool enginesCheckFencing = false;
    double lossProbability = 0;
    double duplicationProbability = 0;
    double delayProbability = 0;
    double lostReplyProbability = 0;
    double falseInstallProbability = 0;
    // Once the store is down, it stays down to the end, unless an agent still has to read the fencing number.
    bool storeStaysDown = false;
    std::vector<fault> faults;
};

fault_plan drawPlan(std::mt19937_64& random);
std::string describe(const fault_plan& plan);

} // namespace appleramp::testing
