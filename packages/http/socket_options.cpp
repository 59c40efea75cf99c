#include "http/socket_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>

namespace appleramp {

namespace {

// Unanswered keep-alive probes after which the kernel closes the connection.
constexpr int keepAliveProbes = 3;

// Errors are ignored: the connection remains usable, and its own timers still apply.
void setOption(int descriptor, int level, int name, int value)
{
    static_cast<void>(::setsockopt(descriptor, level, name, &value, sizeof(value)));
}

} // namespace

void configureSocket(boost::asio::ip::tcp::socket& socket, std::chrono::milliseconds peerTimeout)
{
    const int descriptor = socket.native_handle();
    const int probeIntervalSeconds = std::max(1, static_cast<int>(peerTimeout.count() / 1000 / keepAliveProbes));
    setOption(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, probeIntervalSeconds);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, probeIntervalSeconds);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPCNT, keepAliveProbes);
    setUnacknowledgedTimeout(socket, peerTimeout);
}

void setUnacknowledgedTimeout(boost::asio::ip::tcp::socket& socket, std::chrono::milliseconds timeout)
{
    setOption(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(timeout.count()));
}

} // namespace appleramp
