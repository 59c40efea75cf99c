#pragma once

#include "model/time.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace appleramp::tests {

enum class fault_kind {
    // Entries.
    RestartEntry,
    RestartAllEntries,
    FreezeEntry,
    CutEntry,
    // Engines.
    CrashEngine,
    EngineLeaves,
    EnginePauses,
    EngineNamesLimit,
    // Network and operators.
    LoseDatagrams,
    LoseAnswers,
    ZoneOut,
    // Callers send a request, or requests with one part of their prompts, that crash each engine which begins them.
    CrashingRequest,
    CrashingPart,
    StoreAway,
};

struct planned_fault {
    duration at {};
    fault_kind kind = fault_kind::RestartEntry;
    // The entry, engine or zone, taken modulo their number.
    std::size_t target = 0;
    duration length {};
    // Strength: requests per second of a limit, fraction of what is lost.
    double strength = 0;
};

// Faults in series that overlap, drawn from the seed.
std::vector<planned_fault> planFaults(std::uint64_t seed, duration from, duration until);
std::string textOf(const planned_fault& fault);

} // namespace appleramp::tests
