#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace appleramp {

// Callbacks of a websocket_node, all called on its network thread.
struct websocket_handlers {
    // A connection was opened. `dialled` is the name given to dial(); empty if the peer dialled.
    std::function<void(std::uint64_t link, const std::string& dialled)> opened;
    // A connection was closed or a dial failed. If a dial failed, link is 0 and `dialled` is the name given to dial().
    std::function<void(std::uint64_t link, const std::string& dialled)> closed;
    std::function<void(std::uint64_t link, std::string bytes)> received;
};

struct websocket_limits {
    std::size_t maxMessageBytes = 16U * 1024U * 1024U;
    // A link is closed when more bytes than this wait to be sent because its peer reads too slowly.
    std::size_t maxBufferedBytes = 64U * 1024U * 1024U;
    int dialTimeoutMs = 2000;
};

// Accepts and dials websocket connections that carry binary messages, on one network thread. It does not interpret the
// messages; link_transport, which entries and agents use, decodes them.
class websocket_node {
public:
    explicit websocket_node(websocket_handlers handlers, websocket_limits limits = {});
    ~websocket_node();
    websocket_node(const websocket_node&) = delete;
    websocket_node& operator=(const websocket_node&) = delete;

    // Returns the port in use, which the kernel picks if `port` is 0. Throws std::system_error.
    std::uint16_t listen(const std::string& address, std::uint16_t port);
    // Connects to the target "address:port". The opened or closed callback reports the outcome with the given name.
    void dial(const std::string& target, const std::string& name);
    // Messages to a closed link are dropped.
    void send(std::uint64_t link, std::string bytes);
    void close(std::uint64_t link);
    // Closes all connections and the listener, and joins the network thread.
    void stop();

private:
    class implementation;
    std::shared_ptr<implementation> m_implementation;
};

} // namespace appleramp
