#pragma once

#include <Poco/Net/ServerSocket.h>

#include <atomic>
#include <functional>
#include <thread>

namespace Poco::Net {
class StreamSocket;
} // namespace Poco::Net

namespace appleramp {

// Accepts connections at a listening socket on a thread of its own, one after the other, until it is destroyed.
class connection_acceptor {
public:
    // The handler may throw Poco::Exception where the client closed first.
    using handler = std::function<void(Poco::Net::StreamSocket&)>;

    connection_acceptor(const Poco::Net::ServerSocket& socket, handler serve);
    ~connection_acceptor();
    connection_acceptor(const connection_acceptor&) = delete;
    connection_acceptor& operator=(const connection_acceptor&) = delete;

private:
    void run();

    Poco::Net::ServerSocket m_socket;
    const handler m_serve;
    std::atomic<bool> m_stopping = false;
    std::thread m_thread;
};

} // namespace appleramp
