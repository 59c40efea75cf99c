#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <chrono>

namespace appleramp {

// Bounds how long a silent peer can go unnoticed, idle or with unacknowledged bytes, and turns off Nagle's algorithm.
void bindSilence(boost::asio::ip::tcp::socket& socket, std::chrono::milliseconds limit);

} // namespace appleramp
