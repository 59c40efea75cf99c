#include "datagrams/paced_sender.h"

#include "datagrams/datagram_codec.h"
#include "datagrams/datagram_socket.h"
#include "http/client_pool.h"

#include <algorithm>
#include <utility>

namespace appleramp {

namespace {

std::string targetText(const boost::asio::ip::udp::endpoint& to) { return to.address().to_string() + ':' + std::to_string(to.port()); }

boost::asio::ip::udp::endpoint endpointOf(const std::string& target)
{
    const auto address = endpointFromText(target);
    return { address.address(), address.port() };
}

} // namespace

paced_sender::paced_sender(boost::asio::io_context& loop, datagram_socket& socket, clock now, send_queue_settings settings)
    : m_socket(socket)
    , m_now(std::move(now))
    , m_queue(m_now(), settings)
    , m_timer(loop)
{
}

void paced_sender::send(const datagram_message& message, const boost::asio::ip::udp::endpoint& to)
{
    sendEncoded(encodeDatagram(message), classOf(message), to);
}

void paced_sender::sendEncoded(std::string bytes, const datagram_class& kind, const boost::asio::ip::udp::endpoint& to)
{
    m_queue.push(m_now(), { targetText(to), std::move(bytes), kind.priority, std::string(kind.topic) });
    if (!m_isWaiting)
        flush();
}

void paced_sender::flush()
{
    m_isWaiting = false;
    const instant now = m_now();
    for (const queued_datagram& datagram : m_queue.takeReady(now))
        m_socket.sendEncoded(datagram.bytes, endpointOf(datagram.target));
    const auto next = m_queue.nextSendAt(now);
    if (!next)
        return;
    m_isWaiting = true;
    m_timer.expires_after(std::max(duration(1), *next - now));
    m_timer.async_wait([this](const boost::system::error_code& cancelled) {
        if (!cancelled)
            flush();
    });
}

} // namespace appleramp
