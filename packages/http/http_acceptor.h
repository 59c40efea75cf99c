#pragma once

#include "http/server_connection.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <list>
#include <memory>
#include <string>

namespace appleramp {

// Accepts connections at one address and serves each by a server_connection.
class http_acceptor {
public:
    // Listens at once; throws http_error.
    http_acceptor(boost::asio::io_context& loop, const std::string& address, std::uint16_t port,
        server_connection::limits_source limits, server_connection::handler onRequest);

    std::uint16_t port() const;
    // Answers from now on close their connections; new connections are still accepted.
    void beginDrain();
    void close();
    // Requests that are being answered.
    std::size_t unanswered() const;

private:
    void accept();
    void onAccepted(boost::asio::ip::tcp::socket socket);
    void forgetClosed();

    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_pause;
    server_connection::limits_source m_limits;
    server_connection::handler m_onRequest;
    std::list<std::weak_ptr<server_connection>> m_connections;
    std::size_t m_acceptedSinceSweep = 0;
    bool m_draining = false;
};

} // namespace appleramp
