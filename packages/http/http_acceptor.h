#pragma once

#include "http/server_connection.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <list>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace appleramp {

class memory_relief;
struct shed_connection;

struct acceptor_limits {
    // With more connections than this, one gives way to each new one, or the new one is closed.
    std::size_t maxConnections = std::numeric_limits<std::size_t>::max();
    // Counts what the connections hold, and makes them give way where it is too much; null if it is not counted.
    memory_relief* memory = nullptr;
};

// Listens at one address and creates a server_connection for each accepted connection.
class http_acceptor {
public:
    using shed_watcher = std::function<void(const shed_connection&)>;

    // Starts listening. Throws http_error if the address cannot be used.
    http_acceptor(boost::asio::io_context& loop, const std::string& address, std::uint16_t port,
        server_connection::limits_source limits, server_connection::handler onRequest, acceptor_limits ownLimits = {});

    std::uint16_t port() const;
    // Registers a callback for answers that are dropped, at connections that are accepted from now on.
    void onOutputDropped(server_connection::output_watcher notify) { m_onOutputDropped = std::move(notify); }
    // Registers a callback for connections that are closed since there are too many.
    void onShed(shed_watcher notify) { m_onShed = std::move(notify); }
    // From now on every response closes its connection. New connections are still accepted.
    void beginDrain();
    // Stops accepting; existing connections are kept, and those that the kernel has queued are accepted.
    void close();
    // Number of connections with a request whose response has not been sent completely, or whose peer may still be reading it.
    std::size_t unanswered() const;

private:
    void accept();
    void acceptQueued();
    void onAccepted(boost::asio::ip::tcp::socket socket);
    void removeClosedConnections();
    std::vector<std::shared_ptr<server_connection>> openConnections() const;
    bool makeRoomForConnection();

    acceptor_limits m_ownLimits;
    shed_watcher m_onShed;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_retryTimer;
    server_connection::limits_source m_limits;
    server_connection::handler m_onRequest;
    server_connection::output_watcher m_onOutputDropped;
    std::list<std::weak_ptr<server_connection>> m_connections;
    std::size_t m_acceptedSinceCleanup = 0;
    bool m_draining = false;
};

} // namespace appleramp
