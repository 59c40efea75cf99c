#include "datagrams/news_socket.h"

#include "datagrams/news_codec.h"
#include "http/http_error.h"

#include <boost/asio/buffer.hpp>

#include <utility>

namespace appleramp {

news_socket::news_socket(boost::asio::io_context& ioContext, const std::string& address, std::uint16_t port, news_handler onNews)
    : m_socket(ioContext)
    , m_onNews(std::move(onNews))
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

void news_socket::send(const news& message, const boost::asio::ip::udp::endpoint& to)
{
    sendEncoded(encodeNews(message), to);
}

void news_socket::sendEncoded(const std::string& bytes, const boost::asio::ip::udp::endpoint& to)
{
    boost::system::error_code failure;
    m_socket.send_to(boost::asio::buffer(bytes), to, 0, failure);
    if (failure)
        ++m_dropped;
}

void news_socket::receive()
{
    m_socket.async_receive_from(boost::asio::buffer(m_buffer), m_sender,
        [this](const boost::system::error_code& failure, std::size_t count) {
            if (failure == boost::asio::error::operation_aborted)
                return;
            if (!failure) {
                if (auto message = decodeNews({ m_buffer.data(), count }))
                    m_onNews(std::move(*message), m_sender);
                else
                    ++m_dropped;
            }
            receive();
        });
}

} // namespace appleramp
