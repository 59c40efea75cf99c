#pragma once

#include "http/client_connection.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace appleramp {

struct pool_settings {
    std::chrono::milliseconds connectTimeout { 1000 };
    // A connection whose peer acknowledges nothing for this long is considered dead.
    std::chrono::milliseconds silenceLimit { 3000 };
    // Longest idle time after which a connection is reused. Half of the peer's Keep-Alive timeout, if shorter, takes
    // precedence.
    std::chrono::milliseconds reuseWithin { 1500 };
    std::size_t maxIdlePerServer = 16;
};

// Pool of idle client connections, keyed by server address.
class client_pool {
public:
    client_pool(boost::asio::io_context& loop, pool_settings settings);

    // Returns the most recently used idle connection, or a new one if there is none or requireNew is set.
    std::shared_ptr<client_connection> acquire(const std::string& address, bool requireNew);
    // Returns a connection to the pool after its exchange. It is not kept if it is not reusable, and closed if the pool
    // already holds maxIdlePerServer connections to its server.
    void release(const std::shared_ptr<client_connection>& connection);
    // Closes and removes connections that are no longer reusable or have been idle for too long.
    void sweep();

    // Number of connections created since the start.
    std::uint64_t opened() const { return m_openedConnections; }

private:
    using idle_list = std::vector<std::shared_ptr<client_connection>>;

    bool canReuse(const client_connection& connection) const;
    std::shared_ptr<client_connection> takeIdle(const boost::asio::ip::tcp::endpoint& server);

    boost::asio::io_context& m_loop;
    pool_settings m_settings;
    std::map<boost::asio::ip::tcp::endpoint, idle_list> m_idle;
    std::uint64_t m_openedConnections = 0;
};

// Parses "a.b.c.d:port". Returns 0.0.0.0:0 if the text is not a valid IPv4 address and port.
boost::asio::ip::tcp::endpoint endpointFromText(const std::string& address);

} // namespace appleramp
