#pragma once

#include "schedules/crashing_caller.h"
#include "schedules/fake_operators.h"
#include "schedules/schedule_world.h"

#include <span>
#include <string_view>
#include <vector>

namespace appleramp::tests {

enum class fault_kind {
    None,
    EntryCrash,
    EntryPause,
    AgentCrash,
    AgentPause,
    EndpointCrash,
    EndpointTurnsCold,
    EndpointDropsAnswer,
    LinkCut,
    FramesMangled,
    StoreDown,
    StoreSlow,
    StoreLosesReplies,
    ZoneOutAndIn,
    ZoneFlaps,
    TwoZonesOut,
    CrashingRequest,
};

std::span<const fault_kind> allFaultKinds();
std::string_view nameOf(fault_kind kind);

// Schedules faults of the given kinds at random times in the middle of the schedule; all end before the schedule does.
void planFaults(schedule_world& world, fake_operators& operators, crashing_caller& crashing,
    std::span<const fault_kind> kinds);

} // namespace appleramp::tests
