#include "http/client_pool.h"

#include <algorithm>
#include <charconv>
#include <system_error>

namespace appleramp {

boost::asio::ip::tcp::endpoint endpointFromText(const std::string& address)
{
    const auto colon = address.rfind(':');
    if (colon == std::string::npos)
        return {};
    boost::system::error_code failure;
    const auto host = boost::asio::ip::make_address_v4(address.substr(0, colon), failure);
    std::uint16_t port = 0;
    const char* const end = address.data() + address.size();
    const auto parsed = std::from_chars(address.data() + colon + 1, end, port);
    if (failure || parsed.ec != std::errc() || parsed.ptr != end)
        return {};
    return { host, port };
}

client_pool::client_pool(boost::asio::io_context& loop, pool_settings settings)
    : m_loop(loop)
    , m_settings(settings)
{
}

std::shared_ptr<client_connection> client_pool::acquire(const std::string& address, bool requireNew)
{
    const auto server = endpointFromText(address);
    if (!requireNew) {
        if (auto idleConnection = takeIdle(server))
            return idleConnection;
    }
    ++m_openedConnections;
    return std::make_shared<client_connection>(m_loop, server, m_settings.connectTimeout, m_settings.silenceLimit);
}

std::shared_ptr<client_connection> client_pool::takeIdle(const boost::asio::ip::tcp::endpoint& server)
{
    const auto found = m_idle.find(server);
    if (found == m_idle.end())
        return nullptr;
    idle_list& idle = found->second;
    while (!idle.empty()) {
        auto connection = std::move(idle.back());
        idle.pop_back();
        if (canReuse(*connection))
            return connection;
        connection->cancel();
    }
    return nullptr;
}

bool client_pool::canReuse(const client_connection& connection) const
{
    const auto idleTime = std::chrono::steady_clock::now() - connection.idleSince();
    const auto keepAliveTimeout = connection.keepAliveTimeout();
    return connection.isReusable() && idleTime < m_settings.reuseWithin
        && (keepAliveTimeout.count() == 0 || idleTime < keepAliveTimeout / 2);
}

void client_pool::release(const std::shared_ptr<client_connection>& connection)
{
    if (!connection->isReusable())
        return;
    idle_list& idle = m_idle[connection->server()];
    if (idle.size() >= m_settings.maxIdlePerServer) {
        connection->cancel();
        return;
    }
    idle.push_back(connection);
}

void client_pool::sweep()
{
    for (auto entry = m_idle.begin(); entry != m_idle.end();) {
        idle_list& idle = entry->second;
        for (const auto& connection : idle) {
            if (!canReuse(*connection))
                connection->cancel();
        }
        std::erase_if(idle, [](const auto& connection) { return !connection->isReusable(); });
        entry = idle.empty() ? m_idle.erase(entry) : std::next(entry);
    }
}

} // namespace appleramp
