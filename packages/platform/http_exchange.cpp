#include "platform/http_exchange.h"

#include "blockinghttp/response_error.h"
#include "blockinghttp/response_reader.h"
#include "platform/platform_error.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <optional>

namespace appleramp {

namespace {

Poco::Net::SocketAddress parseAddress(const std::string& address)
{
    try {
        return Poco::Net::SocketAddress(address);
    } catch (const Poco::Exception& exception) {
        throw platform_error("platform address '" + address + "' is not HOST:PORT: " + exception.displayText());
    }
}

Poco::Timespan toTimespan(duration time)
{
    return Poco::Timespan(time.count());
}

} // namespace

struct http_exchange::connection {
    Poco::Net::SocketAddress address;
    Poco::Timespan connectTimeout;
    Poco::Timespan replyTimeout;
    std::optional<Poco::Net::StreamSocket> socket;
    std::unique_ptr<Poco::Net::HTTPClientSession> session;

    void disconnect()
    {
        session.reset();
        socket.reset();
    }

    // The server sends no unsolicited data, so an idle connection that is readable has been closed by the server.
    bool isUsable() const
    {
        return session && !socket->poll(Poco::Timespan(), Poco::Net::Socket::SELECT_READ);
    }
};

http_exchange::http_exchange(const std::string& address, duration connectTimeout, duration replyTimeout)
    : m_connection(std::make_unique<connection>(connection {
        parseAddress(address), toTimespan(connectTimeout), toTimespan(replyTimeout), std::nullopt, nullptr }))
{
}

http_exchange::~http_exchange() = default;

bool http_exchange::connect()
{
    try {
        if (m_connection->isUsable())
            return true;
        m_connection->disconnect();
        m_connection->socket.emplace();
        m_connection->socket->connect(m_connection->address, m_connection->connectTimeout);
        m_connection->socket->setNoDelay(true);
        m_connection->socket->setSendTimeout(m_connection->replyTimeout);
        m_connection->socket->setReceiveTimeout(m_connection->replyTimeout);
        m_connection->session = std::make_unique<Poco::Net::HTTPClientSession>(*m_connection->socket);
        m_connection->session->setKeepAlive(true);
        return true;
    } catch (const Poco::Exception&) {
        m_connection->disconnect();
        return false;
    }
}

http_answer http_exchange::transfer(
    const std::string& method, const std::string& target, std::string_view body, const std::string& contentType)
{
    Poco::Net::HTTPRequest request(method, target, Poco::Net::HTTPMessage::HTTP_1_1);
    request.setHost(m_connection->address.toString());
    request.setKeepAlive(true);
    request.setContentLength(static_cast<std::streamsize>(body.size()));
    if (!body.empty())
        request.setContentType(contentType);
    const request_delivery delivery = writeRequest(*m_connection->session, request, body);

    response_reader reader(*m_connection->socket, method, delivery);
    const http_response_head head = reader.readHead();
    http_answer answer { exchange_outcome::Answered, static_cast<int>(head.status), reader.readWholeBody() };
    if (!reader.isConnectionReusable())
        m_connection->disconnect();
    return answer;
}

http_answer http_exchange::send(
    const std::string& method, const std::string& target, std::string_view body, const std::string& contentType)
{
    if (!connect())
        return { exchange_outcome::NotConnected, 0, {} };
    try {
        return transfer(method, target, body, contentType);
    } catch (const Poco::Exception&) {
        m_connection->disconnect();
        return { exchange_outcome::ReplyLost, 0, {} };
    } catch (const response_error&) {
        m_connection->disconnect();
        return { exchange_outcome::ReplyLost, 0, {} };
    }
}

} // namespace appleramp
