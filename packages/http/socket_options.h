#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <chrono>

namespace appleramp {

// Makes the kernel close the connection if the peer acknowledges nothing for peerTimeout, whether the connection is idle
// (keep-alive probes) or has unacknowledged bytes (TCP_USER_TIMEOUT), and turns off Nagle's algorithm.
void configureSocket(boost::asio::ip::tcp::socket& socket, std::chrono::milliseconds peerTimeout);

// The same for unacknowledged bytes alone; zero for the system's own limit. A window that stays full counts as well, though the
// peer acknowledges that it is.
void setUnacknowledgedTimeout(boost::asio::ip::tcp::socket& socket, std::chrono::milliseconds timeout);

} // namespace appleramp
