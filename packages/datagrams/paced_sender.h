#pragma once

#include "datagrams/datagram_class.h"
#include "decisions/links/send_queue.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <string>

namespace appleramp {

class datagram_socket;

// Sends datagrams through a queue that keeps them below a rate.
class paced_sender {
public:
    using clock = std::function<instant()>;

    paced_sender(boost::asio::io_context& loop, datagram_socket& socket, clock now, send_queue_settings settings);

    void send(const datagram_message& message, const boost::asio::ip::udp::endpoint& to);
    // Sends a message that encodeDatagram() has already encoded.
    void sendEncoded(std::string bytes, const datagram_class& kind, const boost::asio::ip::udp::endpoint& to);

    const send_queue& queue() const { return m_queue; }

private:
    void flush();

    datagram_socket& m_socket;
    clock m_now;
    send_queue m_queue;
    boost::asio::steady_timer m_timer;
    bool m_isWaiting = false;
};

} // namespace appleramp
