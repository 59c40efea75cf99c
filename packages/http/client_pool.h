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
    // A peer that acknowledges nothing for so long is taken for gone.
    std::chrono::milliseconds silenceLimit { 3000 };
    // Idle connections are used again only within this time, and within half of what the peer promised.
    std::chrono::milliseconds reuseWithin { 1500 };
    std::size_t maxIdlePerServer = 16;
};

// Keeps connections to servers between exchanges.
class client_pool {
public:
    client_pool(boost::asio::io_context& loop, pool_settings settings);

    // A kept connection, or a new one if there is none or if only a new one will do.
    std::shared_ptr<client_connection> acquire(const std::string& address, bool onlyNew);
    // Gives a connection back after its exchange; one that can't be used again is dropped.
    void release(const std::shared_ptr<client_connection>& connection);
    // Closes what has been idle for too long.
    void sweep();

    std::uint64_t opened() const { return m_opened; }

private:
    using idle_list = std::vector<std::shared_ptr<client_connection>>;

    bool isFresh(const client_connection& connection) const;
    std::shared_ptr<client_connection> takeIdle(const boost::asio::ip::tcp::endpoint& server);

    boost::asio::io_context& m_loop;
    pool_settings m_settings;
    std::map<boost::asio::ip::tcp::endpoint, idle_list> m_idle;
    std::uint64_t m_opened = 0;
};

// Reads "a.b.c.d:port"; port 0 at address 0.0.0.0 if the text is no address.
boost::asio::ip::tcp::endpoint endpointFromText(const std::string& address);

} // namespace appleramp
