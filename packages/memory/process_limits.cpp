#include "memory/process_limits.h"

#include "memory/machine_size.h"

#include <algorithm>

namespace appleramp {

namespace {

// Descriptors for files, at most a quarter of all.
constexpr std::size_t reservedDescriptors = 200;
// Buffers and state of a connection that does nothing, in the process and in the kernel.
constexpr std::size_t connectionBytes = 16UL * 1024;
// Part of that in the process, which is counted among the bytes held.
constexpr std::size_t heldConnectionBytes = 8UL * 1024;
constexpr std::size_t leastConnections = 8;
// Where the settings name no memory, a process makes do with that of a small machine for what it holds.
constexpr std::size_t mostUnstatedMemory = 160UL * 1024 * 1024;
constexpr std::size_t mostServiceConnections = 512;

} // namespace

process_limits limitsFor(const machine_size& machine)
{
    // The rest of the memory is for the process itself, for copies while a message is handed over, and for what the kernel holds.
    const std::size_t memory = machine.isMemoryStated ? machine.memoryBytes : std::min(machine.memoryBytes, mostUnstatedMemory);
    const std::size_t heldBytes = memory / 5 * 2;
    const std::size_t sockets = machine.descriptors - std::min(reservedDescriptors, machine.descriptors / 4);
    // A request takes a descriptor at its caller and one at its endpoint.
    const std::size_t callers = std::min({ sockets / 2, machine.memoryBytes / 8 / connectionBytes, heldBytes / 2 / heldConnectionBytes });
    const std::size_t service = std::min(sockets / 10, mostServiceConnections);
    return { heldBytes, memory / 6, std::max(callers, leastConnections), std::max(service, leastConnections) };
}

} // namespace appleramp
