#include "directentry/entry_memory.h"

#include "decisions/forwarding/forwarding_effects.h"
#include "directentry/entry_metrics.h"
#include "directentry/refusal_answer.h"
#include "http/shed_connection.h"
#include "memory/machine_size.h"
#include "memory/memory_account.h"
#include "observe/line_log.h"
#include "observe/metrics_registry.h"
#include "runtime/process_clock.h"
#include "settings/process_settings.h"

#include <string>

namespace appleramp {

namespace {

// A connection that gives way leaves its memory at once, and requests leave theirs within their timeouts.
constexpr duration memoryRetryAfter = std::chrono::milliseconds(500);

} // namespace

entry_memory::entry_memory(boost::asio::io_context& loop, const limits_section& settings, line_log& log, metrics_registry& metrics)
    : m_limits(limitsFor(configuredMachineSize(settings.memoryMegabytes, settings.descriptors)))
    , m_log(log)
    , m_metrics(metrics)
    , m_relief(loop, std::make_shared<memory_account>(m_limits.heldBytes), [this](const shed_connection& connection) {
        report(connection);
        return memoryRefusal();
    })
{
}

bool entry_memory::makeRoom(std::size_t bytes, std::size_t holderBytes)
{
    if (m_relief.makeRoom(bytes, holderBytes))
        return true;
    m_log.write(suspendAwareNow(), "memory_short", {},
        { { "asked_bytes", std::to_string(bytes) }, { "holder_bytes", std::to_string(holderBytes) },
            { "held_bytes", std::to_string(account()->heldBytes()) }, { "limit_bytes", std::to_string(account()->limitBytes()) } });
    return false;
}

void entry_memory::report(const shed_connection& connection)
{
    m_metrics.add(entry_metrics::connectionsShed, { { "cause", std::string(connection.cause) } });
    m_log.write(suspendAwareNow(), "connection_shed", {},
        { { "cause", std::string(connection.cause) }, { "peer", connection.peerAddress }, { "bytes", std::to_string(connection.heldBytes) },
            { "held_bytes", std::to_string(connection.accountBytes) }, { "limit_bytes", std::to_string(connection.accountLimitBytes) },
            { "connections", std::to_string(connection.connections) } });
}

void entry_memory::logLimits()
{
    m_log.write(suspendAwareNow(), "limits", {},
        { { "held_bytes", std::to_string(m_limits.heldBytes) }, { "caller_connections", std::to_string(m_limits.callerConnections) },
            { "service_connections", std::to_string(m_limits.serviceConnections) } });
}

void entry_memory::noteGauges()
{
    m_metrics.set(entry_metrics::heldBytes, static_cast<double>(account()->heldBytes()));
    m_metrics.set(entry_metrics::heldBytesLimit, static_cast<double>(account()->limitBytes()));
}

http_response memoryRefusal() { return refusalAnswer({ .reason = refusal_reason::NoMemory, .retryAfter = memoryRetryAfter }); }

} // namespace appleramp
