#include "http/socket_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>

namespace appleramp {

namespace {

// Unanswered keep-alive probes after which the kernel gives the connection up.
constexpr int keepAliveProbes = 3;

// An option that the kernel refuses leaves the connection usable: its timers bound it all the same.
void setOption(int descriptor, int level, int name, int value)
{
    static_cast<void>(::setsockopt(descriptor, level, name, &value, sizeof(value)));
}

} // namespace

void bindSilence(boost::asio::ip::tcp::socket& socket, std::chrono::milliseconds limit)
{
    const int descriptor = socket.native_handle();
    const int seconds = std::max(1, static_cast<int>(limit.count() / 1000 / keepAliveProbes));
    setOption(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, seconds);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, seconds);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPCNT, keepAliveProbes);
    setOption(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(limit.count()));
}

} // namespace appleramp
