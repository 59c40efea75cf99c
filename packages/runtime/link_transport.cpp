#include "runtime/link_transport.h"

#include "model/effects.h"
#include "runtime/runtime_error.h"
#include "websocket/websocket_node.h"
#include "wire/envelope_codec.h"
#include "wire/wire_error.h"

#include <system_error>

namespace appleramp {

link_transport::link_transport(link_callbacks callbacks, std::size_t maxMessageBytes)
    : m_callbacks(std::move(callbacks))
{
    websocket_handlers handlers;
    handlers.opened = [this](std::uint64_t link, const std::string& dialled) {
        m_callbacks.opened({ link, instance_id(dialled) });
    };
    handlers.closed = [this](std::uint64_t link, const std::string& dialled) {
        m_callbacks.closed({ link, instance_id(dialled) });
    };
    handlers.received = [this](std::uint64_t link, const std::string& bytes) { received(link, bytes); };
    websocket_limits limits;
    limits.maxMessageBytes = maxMessageBytes;
    m_node = std::make_unique<websocket_node>(std::move(handlers), limits);
}

link_transport::~link_transport() = default;

std::uint16_t link_transport::listen(const std::string& host, std::uint16_t port)
{
    try {
        return m_node->listen(host, port);
    } catch (const std::system_error& cause) {
        throw runtime_error(std::string("link listener: ") + cause.what());
    }
}

void link_transport::send(const send_message& message) { m_node->send(message.link, encodeEnvelope(message.envelope)); }
void link_transport::open(const open_link& target) { m_node->dial(target.address, target.instance.str()); }
void link_transport::close(link_number link) { m_node->close(link); }
void link_transport::stop() { m_node->stop(); }

void link_transport::received(link_number link, const std::string& bytes)
{
    try {
        m_callbacks.received({ link, decodeEnvelope(bytes) });
    } catch (const wire_error&) {
        m_node->close(link);
    }
}

} // namespace appleramp
