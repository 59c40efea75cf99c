#pragma once

#include "datagrams/datagram_message.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <string>

namespace appleramp {

// Sends and receives messages on one UDP socket.
class datagram_socket {
public:
    using message_handler = std::function<void(datagram_message, const boost::asio::ip::udp::endpoint& from)>;

    // Opens and binds the socket and starts to receive. Throws http_error if the address cannot be bound.
    datagram_socket(boost::asio::io_context& ioContext, const std::string& address, std::uint16_t port, message_handler onMessage);

    void send(const datagram_message& message, const boost::asio::ip::udp::endpoint& to);
    // Sends a message that encodeDatagram() has already encoded.
    void sendEncoded(const std::string& bytes, const boost::asio::ip::udp::endpoint& to);
    std::uint16_t port() const { return m_socket.local_endpoint().port(); }
    // Number of datagrams that could not be decoded or could not be sent.
    std::uint64_t droppedCount() const { return m_dropped; }

private:
    void receive();

    boost::asio::ip::udp::socket m_socket;
    message_handler m_onMessage;
    boost::asio::ip::udp::endpoint m_sender;
    // Expert maps and expert counts of large groups take several kilobytes.
    std::array<char, 65536> m_buffer {};
    std::uint64_t m_dropped = 0;
};

} // namespace appleramp
