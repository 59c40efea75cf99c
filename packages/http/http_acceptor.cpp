#include "http/http_acceptor.h"

#include "http/http_error.h"
#include "http/shed_connection.h"
#include "memory/memory_account.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <chrono>
#include <span>
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

std::vector<connection_load> loadsOf(std::span<const std::shared_ptr<server_connection>> connections)
{
    const auto now = std::chrono::steady_clock::now();
    std::vector<connection_load> loads;
    loads.reserve(connections.size());
    for (const auto& connection : connections)
        loads.push_back(connection->load(now));
    return loads;
}

} // namespace

http_acceptor::http_acceptor(boost::asio::io_context& loop, const std::string& address, std::uint16_t port,
    server_connection::limits_source limits, server_connection::handler onRequest, acceptor_limits ownLimits)
    : m_loop(loop)
    , m_ownLimits(std::move(ownLimits))
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
    auto connection = std::make_shared<server_connection>(std::move(socket), m_limits, m_onRequest, m_ownLimits.account);
    connection->onOutputDropped(m_onOutputDropped);
    if (m_ownLimits.account)
        connection->onGrowth([this](std::size_t heldBytes) { onGrowth(heldBytes); });
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
    const auto chosen = chooseForDescriptor(loadsOf(connections));
    if (!chosen)
        return false;
    reportShed(*connections[*chosen], "descriptors");
    // A refusal would keep the descriptor until its caller has read it.
    connections[*chosen]->shed(std::nullopt);
    return true;
}

// Deferred, since the connection that grows is in the middle of its work.
void http_acceptor::onGrowth(std::size_t heldBytes)
{
    if (m_reliefPending || !m_ownLimits.account->isShortFor(heldBytes))
        return;
    m_reliefPending = true;
    boost::asio::post(m_loop, [this, heldBytes] {
        m_reliefPending = false;
        while (m_ownLimits.account->isShortFor(heldBytes) && shedForMemory()) { }
    });
}

bool http_acceptor::makeRoom(std::size_t bytes)
{
    while (!m_ownLimits.account->hasRoomFor(bytes)) {
        if (!shedForMemory())
            return false;
    }
    return true;
}

bool http_acceptor::shedForMemory()
{
    const auto connections = openConnections();
    const auto chosen = chooseForMemory(loadsOf(connections));
    if (!chosen)
        return false;
    const std::size_t before = m_ownLimits.account->heldBytes();
    connections[*chosen]->shed(reportShed(*connections[*chosen], "memory"));
    return m_ownLimits.account->heldBytes() < before;
}

std::optional<http_response> http_acceptor::reportShed(const server_connection& connection, std::string_view cause) const
{
    if (!m_onShed)
        return std::nullopt;
    const memory_account* const account = m_ownLimits.account.get();
    const std::size_t held = connection.load(std::chrono::steady_clock::now()).heldBytes;
    return m_onShed({ cause, connection.peerAddress(), held, account ? account->heldBytes() : 0, account ? account->limitBytes() : 0, m_connections.size() });
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
