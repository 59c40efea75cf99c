#pragma once

#include "http/server_connection.h"

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <vector>

namespace appleramp {

class memory_account;
struct shed_connection;

// Keeps what the connections and requests of a process hold within its account: while it is short, the connections that have held most for
// longest give way, of all ports together.
class memory_relief {
public:
    using connection_list = std::vector<std::shared_ptr<server_connection>>;
    // Called for each connection that gives way. Returns the answer for a request that is not complete; without one the connection is closed.
    using shed_watcher = std::function<std::optional<http_response>(const shed_connection&)>;

    memory_relief(boost::asio::io_context& loop, std::shared_ptr<memory_account> account, shed_watcher onShed);

    const std::shared_ptr<memory_account>& account() const { return m_account; }
    // Registers connections that may give way. The source must outlive this object's last call.
    void add(std::function<connection_list()> source) { m_sources.push_back(std::move(source)); }

    // Makes connections give way until a holder that will have that size in all has room for these bytes more. Returns whether it has.
    bool makeRoom(std::size_t bytes, std::size_t holderBytes);
    // A connection has grown to that size. Relief is deferred, since the connection is in the middle of its work.
    void onGrowth(std::size_t holderBytes);

private:
    bool shedOne();

    boost::asio::io_context& m_loop;
    std::shared_ptr<memory_account> m_account;
    shed_watcher m_onShed;
    std::vector<std::function<connection_list()>> m_sources;
    bool m_isPending = false;
};

std::vector<connection_load> loadsOf(std::span<const std::shared_ptr<server_connection>> connections);

} // namespace appleramp
