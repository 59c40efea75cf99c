#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <functional>

namespace appleramp {

// Connects to a server and disconnects at once. `done` gets true if nothing listens at its address; false if the connection
// was established, or if neither is known before the timeout.
void probeConnection(boost::asio::io_context& loop, const boost::asio::ip::tcp::endpoint& server, std::chrono::milliseconds timeout,
    std::function<void(bool refused)> done);

} // namespace appleramp
