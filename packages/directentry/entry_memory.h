#pragma once

#include "http/http_acceptor.h"
#include "http/memory_relief.h"
#include "memory/process_limits.h"

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <memory>

namespace appleramp {

class line_log;
class metrics_registry;
struct limits_section;
struct shed_connection;

// What an entry may hold for callers and endpoints. It tells the log and the metrics whenever that is short.
class entry_memory {
public:
    entry_memory(boost::asio::io_context& loop, const limits_section& settings, line_log& log, metrics_registry& metrics);

    // The limits of the port for callers, and of each of the others.
    acceptor_limits callerPort() { return { m_limits.callerConnections, &m_relief }; }
    acceptor_limits servicePort() { return { m_limits.serviceConnections, &m_relief }; }
    const std::shared_ptr<memory_account>& account() const { return m_relief.account(); }

    // Makes others give way until a holder that will have that size in all has room for these bytes more; false if it has none.
    bool makeRoom(std::size_t bytes, std::size_t holderBytes);
    void report(const shed_connection& connection);
    void logLimits();
    void noteGauges();

private:
    process_limits m_limits;
    line_log& m_log;
    metrics_registry& m_metrics;
    memory_relief m_relief;
};

// The refusal of a request for which there is no memory.
http_response memoryRefusal();

} // namespace appleramp
