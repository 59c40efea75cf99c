#include "directentry/caller_connection_limits.h"

#include "decisions/forwarding/route_table.h"
#include "settings/process_settings.h"

#include <chrono>

namespace appleramp {

namespace {

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

} // namespace appleramp
