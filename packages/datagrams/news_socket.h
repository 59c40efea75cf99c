#pragma once

#include "datagrams/news.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <string>

namespace appleramp {

// Sends and receives news at one address.
class news_socket {
public:
    using receiver = std::function<void(news, const boost::asio::ip::udp::endpoint& from)>;

    // Binds at once; throws http_error.
    news_socket(boost::asio::io_context& loop, const std::string& address, std::uint16_t port, receiver onNews);

    void send(const news& message, const boost::asio::ip::udp::endpoint& to);
    void sendEncoded(const std::string& bytes, const boost::asio::ip::udp::endpoint& to);
    std::uint16_t port() const { return m_socket.local_endpoint().port(); }
    // Datagrams that could not be read, or not be sent.
    std::uint64_t dropped() const { return m_dropped; }

private:
    void receive();

    boost::asio::ip::udp::socket m_socket;
    receiver m_onNews;
    boost::asio::ip::udp::endpoint m_from;
    // Maps of large groups and counts of their experts take several kilobytes.
    std::array<char, 65536> m_buffer {};
    std::uint64_t m_dropped = 0;
};

} // namespace appleramp
