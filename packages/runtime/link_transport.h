#pragma once

#include "model/events.h"

#include <functional>
#include <memory>
#include <string>

namespace appleramp {

struct send_message;
struct open_link;
class websocket_node;

struct link_callbacks {
    std::function<void(link_opened)> opened;
    std::function<void(link_closed)> closed;
    std::function<void(message_received)> received;
};

// Exchanges typed link messages over websocket connections. Closes a connection when a message on it cannot be decoded.
class link_transport {
public:
    explicit link_transport(link_callbacks callbacks, std::size_t maxMessageBytes);
    ~link_transport();

    // Returns the port in use. Throws runtime_error if the address cannot be bound.
    std::uint16_t listen(const std::string& host, std::uint16_t port);
    void send(const send_message& message);
    void open(const open_link& target);
    void close(link_number link);
    void stop();

private:
    void received(link_number link, const std::string& bytes);

    link_callbacks m_callbacks;
    std::unique_ptr<websocket_node> m_node;
};

} // namespace appleramp
