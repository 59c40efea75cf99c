#pragma once

#include "http/http_message.h"
#include "http/http_parser.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace appleramp {

enum class exchange_failure {
    ConnectRefused,
    ConnectTimedOut,
    // No byte of the request had been handed to the network.
    ClosedBeforeSend,
    // Reset or closed before the first byte of an answer.
    ClosedBeforeAnswer,
    // Reset or closed inside an answer.
    ClosedInAnswer,
    // The bytes are no answer in the protocol.
    Malformed,
};

// What one exchange reports. After `completed` or `failed` nothing more comes.
struct exchange_handlers {
    std::function<void(http_response_head)> head;
    std::function<void(std::string body)> body;
    std::function<void()> completed;
    std::function<void(exchange_failure)> failed;
};

// A connection to a server, for one exchange after the other.
//
// It owns itself while an operation is pending. Cancelling closes the socket, which makes the server drop the request.
class client_connection : public std::enable_shared_from_this<client_connection> {
public:
    client_connection(boost::asio::io_context& loop, boost::asio::ip::tcp::endpoint server,
        std::chrono::milliseconds connectTimeout, std::chrono::milliseconds silenceLimit);

    // Sends a request, connecting first if need be.
    void exchange(std::string request, exchange_handlers handlers);
    // Ends a running exchange without a report.
    void cancel();

    // True between exchanges if the peer has neither closed nor sent anything unasked.
    bool isReusable() const;
    const boost::asio::ip::tcp::endpoint& server() const { return m_server; }
    std::chrono::steady_clock::time_point idleSince() const { return m_idleSince; }
    // How long the peer said it keeps the connection; zero if it did not say.
    std::chrono::milliseconds keepAlive() const { return m_keepAlive; }
    bool wasUsed() const { return m_used; }

private:
    enum class state {
        Unconnected,
        Connecting,
        Exchanging,
        Idle,
        Closed,
    };

    void connect();
    void onConnected(const boost::system::error_code& failure);
    void write();
    void read();
    void onBytes(std::size_t count);
    void onEnd(bool orderly);
    void report();
    void noteKeepAlive(const http_response_head& head);
    void complete();
    void fail(exchange_failure failure);
    void close();

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    boost::asio::ip::tcp::endpoint m_server;
    std::chrono::milliseconds m_connectTimeout;
    std::chrono::milliseconds m_silenceLimit;
    state m_state = state::Unconnected;

    std::string m_request;
    bool m_written = false;
    bool m_sentAny = false;
    bool m_used = false;
    exchange_handlers m_handlers;
    std::array<char, 8192> m_chunk {};
    std::string m_input;
    std::unique_ptr<http_parser> m_parser;
    bool m_headReported = false;
    bool m_peerKeepsAlive = true;
    bool m_reading = false;
    std::chrono::milliseconds m_keepAlive { 0 };
    std::chrono::steady_clock::time_point m_idleSince;
};

} // namespace appleramp
