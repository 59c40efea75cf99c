#include "http/http_acceptor.h"

#include "http/http_error.h"
#include "http/memory_relief.h"
#include "http/shed_connection.h"

#include <algorithm>
#include <utility>

namespace appleramp {

namespace {

// Connections that the kernel queues until they are accepted.
constexpr int backlog = 1024;
// Closed connections are removed from the list once per this many accepted ones.
constexpr std::size_t cleanupInterval = 64;
// Delay before the next accept after a failed one. The usual cause is that file descriptors have run out, which an
// immediate retry would not change.
constexpr std::chrono::milliseconds acceptRetryDelay { 20 };

} // namespace

http_acceptor::http_acceptor(boost::asio::io_context& loop, const std::string& address, std::uint16_t port,
    server_connection::limits_source limits, server_connection::handler onRequest, acceptor_limits ownLimits)
    : m_ownLimits(ownLimits)
    , m_acceptor(loop)
    , m_retryTimer(loop)
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
        throw http_error("cannot listen at " + address + ':' + std::to_string(port) + ": " + failure.what());
    }
    if (m_ownLimits.memory)
        m_ownLimits.memory->add([this] { return openConnections(); });
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
        m_retryTimer.expires_after(acceptRetryDelay);
        m_retryTimer.async_wait([this](const boost::system::error_code& cancelled) {
            if (!cancelled)
                accept();
        });
    });
}

void http_acceptor::onAccepted(boost::asio::ip::tcp::socket socket)
{
    if (++m_acceptedSinceCleanup >= cleanupInterval)
        removeClosedConnections();
    // A connection for which there is no room is closed with the socket.
    if (m_connections.size() >= m_ownLimits.maxConnections && !makeRoomForConnection())
        return;
    memory_relief* const memory = m_ownLimits.memory;
    auto connection = std::make_shared<server_connection>(std::move(socket), m_limits, m_onRequest, memory ? memory->account() : nullptr);
    connection->onOutputDropped(m_onOutputDropped);
    if (memory)
        connection->onGrowth([memory](std::size_t heldBytes) { memory->onGrowth(heldBytes); });
    if (m_draining)
        connection->beginDrain();
    m_connections.push_back(connection);
    connection->start();
}

// Closing the listener resets what the kernel has queued, though its callers are connected and may have sent requests.
void http_acceptor::acceptQueued()
{
    boost::system::error_code failure;
    m_acceptor.non_blocking(true, failure);
    while (!failure) {
        boost::asio::ip::tcp::socket socket(m_acceptor.get_executor());
        m_acceptor.accept(socket, failure);
        if (!failure)
            onAccepted(std::move(socket));
    }
}

void http_acceptor::removeClosedConnections()
{
    m_acceptedSinceCleanup = 0;
    m_connections.remove_if([](const std::weak_ptr<server_connection>& weakConnection) {
        const auto connection = weakConnection.lock();
        return !connection || connection->isClosed();
    });
}

std::vector<std::shared_ptr<server_connection>> http_acceptor::openConnections() const
{
    std::vector<std::shared_ptr<server_connection>> open;
    for (const auto& weakConnection : m_connections) {
        auto connection = weakConnection.lock();
        if (connection && !connection->isClosed())
            open.push_back(std::move(connection));
    }
    return open;
}

bool http_acceptor::makeRoomForConnection()
{
    removeClosedConnections();
    if (m_connections.size() < m_ownLimits.maxConnections)
        return true;
    const auto connections = openConnections();
    const auto loads = loadsOf(connections);
    const auto chosen = chooseForDescriptor(loads);
    if (!chosen)
        return false;
    server_connection& connection = *connections[*chosen];
    if (m_onShed)
        m_onShed({ .cause = "descriptors", .peerAddress = connection.peerAddress(), .heldBytes = loads[*chosen].heldBytes, .connections = connections.size() });
    // A refusal would keep the descriptor until its caller has read it.
    connection.shed(std::nullopt);
    return true;
}

void http_acceptor::beginDrain()
{
    m_draining = true;
    for (const auto& weakConnection : m_connections) {
        if (const auto connection = weakConnection.lock())
            connection->beginDrain();
    }
}

void http_acceptor::close()
{
    acceptQueued();
    boost::system::error_code ignored; // There is no further cleanup if closing fails.
    m_acceptor.close(ignored);
    m_retryTimer.cancel();
}

std::size_t http_acceptor::unanswered() const
{
    return static_cast<std::size_t>(std::count_if(m_connections.begin(), m_connections.end(), [](const auto& weakConnection) {
        const auto connection = weakConnection.lock();
        return connection && connection->hasUnfinishedAnswer();
    }));
}

} // namespace appleramp
