#include "http/memory_relief.h"

#include "http/shed_connection.h"
#include "memory/memory_account.h"

#include <boost/asio/post.hpp>

#include <chrono>
#include <utility>

namespace appleramp {

memory_relief::memory_relief(boost::asio::io_context& loop, std::shared_ptr<memory_account> account, shed_watcher onShed)
    : m_loop(loop)
    , m_account(std::move(account))
    , m_onShed(std::move(onShed))
{
}

bool memory_relief::makeRoom(std::size_t bytes, std::size_t holderBytes)
{
    while (!m_account->hasRoomFor(bytes, holderBytes)) {
        if (!shedOne())
            return false;
    }
    return true;
}

void memory_relief::onGrowth(std::size_t holderBytes)
{
    if (m_isPending || m_account->hasRoomFor(0, holderBytes))
        return;
    m_isPending = true;
    boost::asio::post(m_loop, [this, holderBytes] {
        m_isPending = false;
        makeRoom(0, holderBytes);
    });
}

bool memory_relief::shedOne()
{
    connection_list connections;
    for (const auto& source : m_sources) {
        for (auto& connection : source())
            connections.push_back(std::move(connection));
    }
    const auto loads = loadsOf(connections);
    const auto chosen = chooseForMemory(loads);
    if (!chosen)
        return false;
    const std::size_t before = m_account->heldBytes();
    server_connection& connection = *connections[*chosen];
    connection.shed(m_onShed({ "memory", connection.peerAddress(), loads[*chosen].heldBytes, before, m_account->limitBytes(), connections.size() }));
    return m_account->heldBytes() < before;
}

std::vector<connection_load> loadsOf(std::span<const std::shared_ptr<server_connection>> connections)
{
    const auto now = std::chrono::steady_clock::now();
    std::vector<connection_load> loads;
    loads.reserve(connections.size());
    for (const auto& connection : connections)
        loads.push_back(connection->load(now));
    return loads;
}

} // namespace appleramp
