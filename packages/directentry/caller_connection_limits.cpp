#include "directentry/caller_connection_limits.h"

#include "decisions/forwarding/route_table.h"
#include "settings/process_settings.h"

#include <algorithm>
#include <chrono>

namespace appleramp {

namespace {

constexpr std::size_t mebibyte = 1024UL * 1024;
// Where the settings name no memory, a process uses no more than this of a large machine.
constexpr std::size_t mostMemoryFound = 512 * mebibyte;
constexpr parser_limits serviceMessage { .maxHeaderBytes = 16 * 1024, .maxBodyBytes = 16ULL * 1024 };

} // namespace

server_limits callerConnectionLimits(const route_table* routes, const process_settings& settings)
{
    if (routes == nullptr)
        return {};
    const caller_limits& limits = routes->configuration().limits;
    const auto inMilliseconds = [](duration time) { return std::chrono::duration_cast<std::chrono::milliseconds>(time); };
    return { { limits.maxHeaderBytes, limits.maxBodyBytes }, inMilliseconds(limits.headerTimeout),
        inMilliseconds(settings.limits.requestReadTimeout), inMilliseconds(limits.idleTimeout) };
}

server_limits serviceConnectionLimits() { return { .message = serviceMessage }; }

machine_size configuredMachineSize(const process_settings& settings)
{
    machine_size size = readMachineSize();
    size.memoryBytes = settings.limits.memoryMegabytes > 0 ? settings.limits.memoryMegabytes * mebibyte : std::min(size.memoryBytes, mostMemoryFound);
    if (settings.limits.descriptors > 0)
        size.descriptors = std::min<std::size_t>(size.descriptors, settings.limits.descriptors);
    return size;
}

} // namespace appleramp
