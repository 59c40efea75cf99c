#include "stand_ins/http_listener.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/ThreadPool.h>

#include <sys/socket.h>

namespace appleramp::stand_ins {

namespace {

constexpr auto loopback = "127.0.0.1";
constexpr auto maxConnections = 2048;
constexpr auto minThreads = 2;
constexpr auto idleThreadLifetimeSeconds = 5;
constexpr auto listenBacklog = 512;
constexpr auto connectionTimeoutSeconds = 120;

class calling_handler : public Poco::Net::HTTPRequestHandler {
public:
    explicit calling_handler(const http_listener::handler& onRequest)
        : m_handler(onRequest)
    {
    }

    void handleRequest(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response) override
    {
        try {
            m_handler(request, response);
        } catch (const Poco::Exception&) {
            // The peer has gone or the listener was closed: there is nobody to answer.
            response.setKeepAlive(false);
        }
    }

private:
    const http_listener::handler& m_handler;
};

class calling_handler_factory : public Poco::Net::HTTPRequestHandlerFactory {
public:
    explicit calling_handler_factory(const http_listener::handler& onRequest)
        : m_handler(onRequest)
    {
    }

    Poco::Net::HTTPRequestHandler* createRequestHandler(const Poco::Net::HTTPServerRequest&) override
    {
        return std::make_unique<calling_handler>(m_handler).release();
    }

private:
    const http_listener::handler& m_handler;
};

Poco::Net::HTTPServerParams::Ptr serverParameters()
{
    // The pointer counts references from one: the class destroys itself.
    Poco::Net::HTTPServerParams::Ptr parameters(new Poco::Net::HTTPServerParams);
    parameters->setKeepAlive(true);
    parameters->setMaxKeepAliveRequests(0);
    parameters->setMaxThreads(maxConnections);
    parameters->setMaxQueued(maxConnections);
    parameters->setTimeout(Poco::Timespan(connectionTimeoutSeconds, 0));
    parameters->setKeepAliveTimeout(Poco::Timespan(connectionTimeoutSeconds, 0));
    return parameters;
}

Poco::Net::ServerSocket listenOn(std::uint16_t port)
{
    Poco::Net::ServerSocket socket;
    socket.bind(Poco::Net::SocketAddress(loopback, port), true);
    socket.listen(listenBacklog);
    return socket;
}

} // namespace

struct http_listener::server {
    server(const handler& onRequest, const Poco::Net::ServerSocket& listening)
        : threads(minThreads, maxConnections, idleThreadLifetimeSeconds)
        , socket(listening)
        , http(Poco::Net::HTTPRequestHandlerFactory::Ptr(
                   std::make_unique<calling_handler_factory>(onRequest).release()),
              threads, socket, serverParameters())
    {
        http.start();
    }

    void cut()
    {
        // Wakes the accepting thread and refuses connections from now on.
        ::shutdown(socket.impl()->sockfd(), SHUT_RDWR);
        http.stopAll(true);
    }

    Poco::ThreadPool threads;
    Poco::Net::ServerSocket socket;
    Poco::Net::HTTPServer http;
};

http_listener::http_listener(handler onRequest)
    : m_handler(std::move(onRequest))
{
}

http_listener::~http_listener()
{
    close();
    for (auto& closed : m_closed)
        closed->threads.joinAll();
}

void http_listener::open(std::uint16_t port)
{
    const std::lock_guard lock(m_mutex);
    if (m_server)
        return;
    auto socket = listenOn(m_port != 0 ? m_port : port);
    m_port = socket.address().port();
    m_server = std::make_unique<server>(m_handler, socket);
}

void http_listener::close()
{
    const std::lock_guard lock(m_mutex);
    if (!m_server)
        return;
    m_server->cut();
    m_server->socket.close();
    m_closed.push_back(std::move(m_server));
}

std::string http_listener::address() const
{
    return std::string(loopback) + ":" + std::to_string(m_port);
}

} // namespace appleramp::stand_ins
