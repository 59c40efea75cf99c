#include "datagrams/datagram_socket.h"

#include "datagrams/datagram_codec.h"
#include "http/http_error.h"

#include <boost/asio/buffer.hpp>

#include <utility>

namespace appleramp {

datagram_socket::datagram_socket(boost::asio::io_context& ioContext, const std::string& address, std::uint16_t port, message_handler onMessage)
    : m_socket(ioContext)
    , m_onMessage(std::move(onMessage))
{
    try {
        const boost::asio::ip::udp::endpoint local(boost::asio::ip::make_address(address), port);
        m_socket.open(local.protocol());
        m_socket.bind(local);
        m_socket.non_blocking(true);
    } catch (const boost::system::system_error& failure) {
        throw http_error("cannot bind UDP socket to " + address + ':' + std::to_string(port) + ": " + failure.what());
    }
    receive();
}

void datagram_socket::send(const datagram_message& message, const boost::asio::ip::udp::endpoint& to)
{
    sendEncoded(encodeDatagram(message), to);
}

void datagram_socket::sendEncoded(const std::string& bytes, const boost::asio::ip::udp::endpoint& to)
{
    boost::system::error_code failure;
    m_socket.send_to(boost::asio::buffer(bytes), to, 0, failure);
    if (failure)
        ++m_dropped;
}

void datagram_socket::receive()
{
    m_socket.async_receive_from(boost::asio::buffer(m_buffer), m_sender,
        [this](const boost::system::error_code& failure, std::size_t count) {
            if (failure == boost::asio::error::operation_aborted)
                return;
            if (!failure) {
                if (auto message = decodeDatagram({ m_buffer.data(), count }))
                    m_onMessage(std::move(*message), m_sender);
                else
                    ++m_dropped;
            }
            receive();
        });
}

} // namespace appleramp
