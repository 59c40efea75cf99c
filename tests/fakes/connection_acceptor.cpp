#include "fakes/connection_acceptor.h"

#include <Poco/Exception.h>
#include <Poco/Net/StreamSocket.h>

#include <utility>

namespace appleramp {

namespace {

constexpr long stopPollMicroseconds = 20'000;

} // namespace

connection_acceptor::connection_acceptor(const Poco::Net::ServerSocket& socket, handler serve)
    : m_socket(socket)
    , m_serve(std::move(serve))
    , m_thread([this] { run(); })
{
}

connection_acceptor::~connection_acceptor()
{
    m_stopping = true;
    m_thread.join();
}

void connection_acceptor::run()
{
    while (!m_stopping) {
        if (!m_socket.poll(Poco::Timespan(stopPollMicroseconds), Poco::Net::Socket::SELECT_READ))
            continue;
        auto connection = m_socket.acceptConnection();
        try {
            m_serve(connection);
        } catch (const Poco::Exception&) {
            // The client closed first.
            continue;
        }
    }
}

} // namespace appleramp
