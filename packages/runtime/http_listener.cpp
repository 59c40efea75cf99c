#include "runtime/http_listener.h"

#include "runtime/runtime_error.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/ThreadPool.h>
#include <Poco/Timespan.h>

#include <sys/socket.h>

#include <thread>

namespace appleramp {

namespace {

constexpr int minThreads = 4;
constexpr int idleThreadSeconds = 60;
constexpr int maxQueuedConnections = 128;
constexpr int keepAliveSeconds = 15;
// A thread that waits for a connection may miss that the server stops, and sees it after this time.
constexpr int idleDispatchMicroseconds = 100'000;

class handler_factory : public Poco::Net::HTTPRequestHandlerFactory {
public:
    explicit handler_factory(http_listener::handler_maker make)
        : m_make(std::move(make))
    {
    }
    Poco::Net::HTTPRequestHandler* createRequestHandler(const Poco::Net::HTTPServerRequest& /*request*/) override
    {
        return m_make();
    }

private:
    http_listener::handler_maker m_make;
};

Poco::Net::HTTPServerParams::Ptr parameters(int maxThreads, duration readTimeout)
{
    Poco::Net::HTTPServerParams::Ptr parameters(new Poco::Net::HTTPServerParams);
    parameters->setMaxThreads(maxThreads);
    parameters->setMaxQueued(maxQueuedConnections);
    parameters->setTimeout(Poco::Timespan(readTimeout.count()));
    parameters->setThreadIdleTime(Poco::Timespan(idleDispatchMicroseconds));
    parameters->setKeepAliveTimeout(Poco::Timespan(keepAliveSeconds, 0));
    return parameters;
}

} // namespace

class http_listener::implementation {
public:
    implementation(const std::string& host, std::uint16_t port, int maxThreads, duration readTimeout,
        handler_maker makeHandler)
        : m_threads(minThreads, std::max(maxThreads, minThreads), idleThreadSeconds)
        , m_socket(Poco::Net::SocketAddress(host, port))
        , m_server(new handler_factory(std::move(makeHandler)), m_threads, m_socket,
              parameters(maxThreads, readTimeout))
    {
        m_server.start();
    }

    std::uint16_t port() const { return m_socket.address().port(); }

    void stop()
    {
        // Connections that nobody has accepted end now, and not with the process, when their callers have waited for it.
        ::shutdown(m_socket.impl()->sockfd(), SHUT_RD);
        // Waits for the requests in hand. Idle connections are closed, as the threads that serve them would wait for their timeout.
        m_server.stopAll(false);
        m_threads.joinAll();
    }

private:
    Poco::ThreadPool m_threads;
    Poco::Net::ServerSocket m_socket;
    Poco::Net::HTTPServer m_server;
};

http_listener::http_listener(const std::string& host, std::uint16_t port, int maxThreads, duration readTimeout,
    handler_maker makeHandler)
{
    try {
        m_implementation = std::make_unique<implementation>(host, port, maxThreads, readTimeout, std::move(makeHandler));
    } catch (const Poco::Exception& cause) {
        throw runtime_error("cannot listen on " + host + ":" + std::to_string(port) + ": " + cause.displayText());
    }
}

http_listener::~http_listener() = default;
std::uint16_t http_listener::port() const { return m_implementation->port(); }
void http_listener::stop() { m_implementation->stop(); }

} // namespace appleramp
