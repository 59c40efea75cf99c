#include "http/http_acceptor.h"

#include "http/http_error.h"

#include <algorithm>
#include <utility>

namespace appleramp {

namespace {

constexpr int backlog = 1024;
// Accepted connections between two sweeps of the closed ones.
constexpr std::size_t sweepInterval = 64;
// Wait after a failed accept, which mostly means that descriptors have run out.
constexpr std::chrono::milliseconds acceptPause { 20 };

} // namespace

http_acceptor::http_acceptor(boost::asio::io_context& loop, const std::string& address, std::uint16_t port,
    server_connection::limits_source limits, server_connection::handler onRequest)
    : m_acceptor(loop)
    , m_pause(loop)
    , m_limits(std::move(limits))
    , m_onRequest(std::move(onRequest))
{
    try {
        const boost::asio::ip::tcp::endpoint endpoint(boost::asio::ip::make_address(address), port);
        m_acceptor.open(endpoint.protocol());
        m_acceptor.set_option(boost::asio::ip::tcp::acceptor::reuse_address(true));
        m_acceptor.bind(endpoint);
        m_acceptor.listen(backlog);
    } catch (const boost::system::system_error& failure) {
        throw http_error("can't listen at " + address + ':' + std::to_string(port) + ": " + failure.what());
    }
    accept();
}

std::uint16_t http_acceptor::port() const { return m_acceptor.local_endpoint().port(); }

void http_acceptor::accept()
{
    m_acceptor.async_accept([this](const boost::system::error_code& failure, boost::asio::ip::tcp::socket socket) {
        if (failure == boost::asio::error::operation_aborted)
            return;
        if (!failure) {
            onAccepted(std::move(socket));
            accept();
            return;
        }
        m_pause.expires_after(acceptPause);
        m_pause.async_wait([this](const boost::system::error_code& cancelled) {
            if (!cancelled)
                accept();
        });
    });
}

void http_acceptor::onAccepted(boost::asio::ip::tcp::socket socket)
{
    if (++m_acceptedSinceSweep >= sweepInterval)
        forgetClosed();
    auto connection = std::make_shared<server_connection>(std::move(socket), m_limits, m_onRequest);
    if (m_draining)
        connection->beginDrain();
    m_connections.push_back(connection);
    connection->start();
}

void http_acceptor::forgetClosed()
{
    m_acceptedSinceSweep = 0;
    m_connections.remove_if([](const std::weak_ptr<server_connection>& connection) { return connection.expired(); });
}

void http_acceptor::beginDrain()
{
    m_draining = true;
    for (const auto& held : m_connections) {
        if (const auto connection = held.lock())
            connection->beginDrain();
    }
}

void http_acceptor::close()
{
    boost::system::error_code ignored; // Closing is the end of it either way.
    m_acceptor.close(ignored);
    m_pause.cancel();
}

std::size_t http_acceptor::unanswered() const
{
    return static_cast<std::size_t>(std::count_if(m_connections.begin(), m_connections.end(), [](const auto& held) {
        const auto connection = held.lock();
        return connection && connection->isAnswering();
    }));
}

} // namespace appleramp
