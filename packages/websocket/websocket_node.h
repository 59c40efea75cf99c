#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace appleramp {

// What a websocket_node reports, each from its one network thread.
struct websocket_handlers {
    // A connection is open. `dialled` is what was given to dial(); empty if the peer dialled.
    std::function<void(std::uint64_t link, const std::string& dialled)> opened;
    // A connection ended, or a dial failed: then link is 0 and `dialled` names it.
    std::function<void(std::uint64_t link, const std::string& dialled)> closed;
    std::function<void(std::uint64_t link, std::string bytes)> received;
};

struct websocket_limits {
    std::size_t maxMessageBytes = 16U * 1024U * 1024U;
    // A link whose peer reads too slowly is closed when this much waits to be sent.
    std::size_t maxBufferedBytes = 64U * 1024U * 1024U;
    int dialTimeoutMs = 2000;
};

// Listens for and dials websocket connections that carry binary messages, on one network thread.
// It knows nothing of what the bytes mean; the shells of entry and agent work with it.
class websocket_node {
public:
    explicit websocket_node(websocket_handlers handlers, websocket_limits limits = {});
    ~websocket_node();
    websocket_node(const websocket_node&) = delete;
    websocket_node& operator=(const websocket_node&) = delete;

    // Returns the port in use, which the kernel picks if `port` is 0. Throws std::system_error.
    std::uint16_t listen(const std::string& address, std::uint16_t port);
    // Connects to "address:port"; opened or closed reports the outcome under the name given.
    void dial(const std::string& target, const std::string& name);
    // Messages to a link that is gone are dropped.
    void send(std::uint64_t link, std::string bytes);
    void close(std::uint64_t link);
    // Closes everything and joins the network thread.
    void stop();

private:
    class implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace appleramp
