#include "memory/process_limits.h"

#include "memory/machine_size.h"

#include <algorithm>

namespace appleramp {

namespace {

// Descriptors for files, at most a quarter of all.
constexpr std::size_t reservedDescriptors = 200;
// Buffers and state of a connection that does nothing, in the process and in the kernel.
constexpr std::size_t connectionBytes = 16UL * 1024;
constexpr std::size_t leastConnections = 8;
constexpr std::size_t mostServiceConnections = 512;

} // namespace

process_limits limitsFor(const machine_size& machine)
{
    // The rest of the memory is for the process itself, for copies while a message is handed over, and for what the kernel holds.
    const std::size_t heldBytes = machine.memoryBytes / 5 * 2;
    const std::size_t sockets = machine.descriptors - std::min(reservedDescriptors, machine.descriptors / 4);
    // A request takes a descriptor at its caller and one at its endpoint.
    const std::size_t callers = std::min(sockets / 2, machine.memoryBytes / 8 / connectionBytes);
    const std::size_t service = std::min(sockets / 10, mostServiceConnections);
    return { heldBytes, machine.memoryBytes / 6, std::max(callers, leastConnections), std::max(service, leastConnections) };
}

} // namespace appleramp
