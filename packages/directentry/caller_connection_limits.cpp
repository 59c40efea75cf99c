#include "directentry/caller_connection_limits.h"

#include "decisions/forwarding/route_table.h"
#include "settings/process_settings.h"

#include <chrono>

namespace appleramp {

server_limits callerConnectionLimits(const route_table* routes, const process_settings& settings)
{
    if (routes == nullptr)
        return {};
    const caller_limits& limits = routes->configuration().limits;
    const auto inMilliseconds = [](duration time) { return std::chrono::duration_cast<std::chrono::milliseconds>(time); };
    return { { limits.maxHeaderBytes, limits.maxBodyBytes }, inMilliseconds(limits.headerTimeout),
        inMilliseconds(settings.limits.requestReadTimeout), inMilliseconds(limits.idleTimeout) };
}

} // namespace appleramp
