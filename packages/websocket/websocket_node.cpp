#include "websocket/websocket_node.h"

#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

#include <map>
#include <system_error>
#include <thread>
#include <utility>

namespace appleramp {

namespace {

using server_endpoint = websocketpp::server<websocketpp::config::asio>;
using client_endpoint = websocketpp::client<websocketpp::config::asio_client>;
using connection_handle = websocketpp::connection_hdl;

struct link_state {
    connection_handle handle;
    std::string dialled;
    bool acceptedByServer = false;
};

using handle_less = std::owner_less<connection_handle>;

} // namespace

// Owns the server and the client endpoint, which share one io_service. The public functions post their work to the
// network thread; after start() and listen(), the private members are used on that thread only.
class websocket_node::implementation : public std::enable_shared_from_this<implementation> {
public:
    implementation(websocket_handlers handlers, websocket_limits limits)
        : m_handlers(std::move(handlers))
        , m_limits(limits)
        , m_work(std::make_unique<boost::asio::io_service::work>(m_io))
    {
    }

    void start()
    {
        m_server.clear_access_channels(websocketpp::log::alevel::all);
        m_server.clear_error_channels(websocketpp::log::elevel::all);
        m_client.clear_access_channels(websocketpp::log::alevel::all);
        m_client.clear_error_channels(websocketpp::log::elevel::all);
        m_server.init_asio(&m_io);
        m_client.init_asio(&m_io);
        m_server.set_reuse_addr(true);
        m_server.set_max_message_size(m_limits.maxMessageBytes);
        m_client.set_max_message_size(m_limits.maxMessageBytes);
        m_client.set_open_handshake_timeout(m_limits.dialTimeoutMs);
        m_server.set_open_handshake_timeout(m_limits.dialTimeoutMs);
        setHandlers();
        m_thread = std::thread([this] { m_io.run(); });
    }

    std::uint16_t listen(const std::string& address, std::uint16_t port)
    {
        websocketpp::lib::error_code failure;
        m_server.listen(boost::asio::ip::tcp::endpoint(boost::asio::ip::address::from_string(address), port), failure);
        if (failure)
            throw std::system_error(failure.value(), std::system_category(), "listen on " + address);
        m_server.start_accept();
        boost::system::error_code ignored;
        return m_server.get_local_endpoint(ignored).port();
    }

    void dial(const std::string& target, const std::string& name)
    {
        m_io.post([self = shared_from_this(), target, name] { self->dialOnNetworkThread(target, name); });
    }

    void send(std::uint64_t link, std::string bytes)
    {
        m_io.post([self = shared_from_this(), link, bytes = std::move(bytes)] { self->sendOnNetworkThread(link, bytes); });
    }

    void close(std::uint64_t link)
    {
        m_io.post([self = shared_from_this(), link] { self->closeOnNetworkThread(link); });
    }

    void stop()
    {
        if (!m_thread.joinable())
            return;
        m_io.post([self = shared_from_this()] { self->stopOnNetworkThread(); });
        m_work.reset();
        m_thread.join();
    }

private:
    void setHandlers()
    {
        m_server.set_open_handler([this](const connection_handle& handle) { opened(handle, {}, true); });
        m_server.set_close_handler([this](const connection_handle& handle) { closed(handle); });
        m_server.set_message_handler([this](const connection_handle& handle, const server_endpoint::message_ptr& message) {
            received(handle, message->get_payload());
        });
        m_client.set_message_handler([this](const connection_handle& handle, const client_endpoint::message_ptr& message) {
            received(handle, message->get_payload());
        });
        m_server.set_tcp_post_init_handler([this](const connection_handle& handle) { disableNagle(m_server, handle); });
        m_client.set_tcp_post_init_handler([this](const connection_handle& handle) { disableNagle(m_client, handle); });
    }

    // Disables Nagle's algorithm: token frames are small, and waiting to fill a segment would delay each token.
    template <typename Endpoint>
    static void disableNagle(Endpoint& endpoint, const connection_handle& handle)
    {
        websocketpp::lib::error_code failure;
        const auto connection = endpoint.get_con_from_hdl(handle, failure);
        boost::system::error_code ignored;
        if (!failure)
            connection->get_raw_socket().set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    }

    void dialOnNetworkThread(const std::string& target, const std::string& name)
    {
        websocketpp::lib::error_code failure;
        const auto connection = m_client.get_connection("ws://" + target + "/", failure);
        if (failure) {
            m_handlers.closed(0, name);
            return;
        }
        connection->set_open_handler([this, name](const connection_handle& handle) { opened(handle, name, false); });
        connection->set_fail_handler([this, name](const connection_handle&) { m_handlers.closed(0, name); });
        connection->set_close_handler([this](const connection_handle& handle) { closed(handle); });
        m_client.connect(connection);
    }

    void sendOnNetworkThread(std::uint64_t link, const std::string& bytes)
    {
        const auto found = m_links.find(link);
        if (found == m_links.end())
            return;
        websocketpp::lib::error_code failure;
        const auto& live = found->second;
        const auto buffered = live.acceptedByServer ? sendThrough(m_server, live.handle, bytes, failure)
                                                    : sendThrough(m_client, live.handle, bytes, failure);
        if (failure || buffered > m_limits.maxBufferedBytes)
            closeOnNetworkThread(link);
    }

    template <typename Endpoint>
    static std::size_t sendThrough(Endpoint& endpoint, const connection_handle& handle, const std::string& bytes,
        websocketpp::lib::error_code& failure)
    {
        const auto connection = endpoint.get_con_from_hdl(handle, failure);
        if (failure)
            return 0;
        failure = connection->send(bytes, websocketpp::frame::opcode::binary);
        return connection->get_buffered_amount();
    }

    void closeOnNetworkThread(std::uint64_t link)
    {
        const auto found = m_links.find(link);
        if (found == m_links.end())
            return;
        websocketpp::lib::error_code ignored;
        const auto live = found->second;
        if (live.acceptedByServer)
            m_server.close(live.handle, websocketpp::close::status::going_away, "", ignored);
        else
            m_client.close(live.handle, websocketpp::close::status::going_away, "", ignored);
    }

    void stopOnNetworkThread()
    {
        websocketpp::lib::error_code ignored;
        if (m_server.is_listening())
            m_server.stop_listening(ignored);
        // Peers see their connections close. Stopping does not wait for the closing handshakes and reports no events.
        m_handlers = { [](std::uint64_t, const std::string&) {}, [](std::uint64_t, const std::string&) {},
            [](std::uint64_t, const std::string&) {} };
        while (!m_links.empty()) {
            const auto link = m_links.begin()->first;
            closeOnNetworkThread(link);
            m_links.erase(link);
        }
        m_io.stop();
    }

    void opened(const connection_handle& handle, const std::string& dialled, bool acceptedByServer)
    {
        const auto link = ++m_lastLink;
        m_links[link] = link_state { handle, dialled, acceptedByServer };
        m_linkByHandle[handle] = link;
        m_handlers.opened(link, dialled);
    }

    void closed(const connection_handle& handle)
    {
        const auto number = m_linkByHandle.find(handle);
        if (number == m_linkByHandle.end())
            return;
        const auto link = number->second;
        const auto dialled = m_links[link].dialled;
        m_linkByHandle.erase(number);
        m_links.erase(link);
        m_handlers.closed(link, dialled);
    }

    void received(const connection_handle& handle, const std::string& bytes)
    {
        const auto number = m_linkByHandle.find(handle);
        if (number != m_linkByHandle.end())
            m_handlers.received(number->second, bytes);
    }

    websocket_handlers m_handlers;
    websocket_limits m_limits;
    boost::asio::io_service m_io;
    std::unique_ptr<boost::asio::io_service::work> m_work;
    server_endpoint m_server;
    client_endpoint m_client;
    std::thread m_thread;
    std::map<std::uint64_t, link_state> m_links;
    std::map<connection_handle, std::uint64_t, handle_less> m_linkByHandle;
    std::uint64_t m_lastLink = 0;
};

websocket_node::websocket_node(websocket_handlers handlers, websocket_limits limits)
    : m_implementation(std::make_shared<implementation>(std::move(handlers), limits))
{
    m_implementation->start();
}

websocket_node::~websocket_node() { stop(); }

std::uint16_t websocket_node::listen(const std::string& address, std::uint16_t port)
{
    return m_implementation->listen(address, port);
}

void websocket_node::dial(const std::string& target, const std::string& name) { m_implementation->dial(target, name); }
void websocket_node::send(std::uint64_t link, std::string bytes) { m_implementation->send(link, std::move(bytes)); }
void websocket_node::close(std::uint64_t link) { m_implementation->close(link); }
void websocket_node::stop() { m_implementation->stop(); }

} // namespace appleramp
