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
    // Nothing listens at the server's address.
    ConnectRefused,
    ConnectTimedOut,
    // The connection was not established for another reason.
    ConnectFailed,
    // The connection closed before any byte of the request was sent.
    ClosedBeforeSend,
    // The connection was reset or closed before the head of the response was complete.
    ClosedBeforeAnswer,
    // The connection was reset or closed after the head of the response and before the end of its body.
    ClosedInAnswer,
    // The received bytes are not a valid HTTP response or exceed the parser limits.
    Malformed,
};

// Callbacks of one exchange. `completed` or `failed` is the last one that is called.
struct exchange_handlers {
    std::function<void(http_response_head)> head;
    std::function<void(std::string body)> body;
    std::function<void()> completed;
    std::function<void(exchange_failure)> failed;
};

// An HTTP/1.1 client connection to one server that carries one exchange (a request and its response) at a time.
//
// An answer without a length ends with its connection. It is whole only if the request was written to its end: the kernel reports a
// reset once, and if a write gets that report, the connection looks as if it had ended in order.
//
// Pending operations keep the object alive. Cancelling closes the socket, which makes the server drop the request.
class client_connection : public std::enable_shared_from_this<client_connection> {
public:
    client_connection(boost::asio::io_context& loop, boost::asio::ip::tcp::endpoint server,
        std::chrono::milliseconds connectTimeout, std::chrono::milliseconds peerTimeout);

    // Sends a serialized request; connects first unless the connection is idle.
    void exchange(std::string request, exchange_handlers handlers);
    // The same for a request whose body is shared with its owner, which may send it again.
    void exchange(std::string head, std::shared_ptr<const std::string> body, exchange_handlers handlers);
    // Closes the connection without calling any handler of a running exchange.
    void cancel();

    // True between exchanges while the peer has neither closed the connection nor sent unsolicited bytes.
    bool isReusable() const;
    const boost::asio::ip::tcp::endpoint& server() const { return m_server; }
    std::chrono::steady_clock::time_point idleSince() const { return m_idleSince; }
    // The timeout in the Keep-Alive header of the last response; zero if there was none.
    std::chrono::milliseconds keepAliveTimeout() const { return m_keepAliveTimeout; }
    // What was wrong with the response of an exchange that failed as Malformed; None after other failures.
    response_defect defect() const;
    // True once a request has been handed to the socket.
    bool wasUsed() const { return m_used; }

private:
    enum class state {
        Unconnected,
        Connecting,
        Exchanging,
        Idle,
        Closed,
    };

    // Of the request of the running exchange.
    enum class write_state {
        InProgress,
        Written,
        Failed,
    };

    void connect();
    void onConnected(const boost::system::error_code& failure);
    void write();
    void limitUnacknowledgedTime();
    void onWritten(write_state outcome);
    void read();
    void onBytes(std::size_t count);
    void onConnectionEnd(bool orderlyClose);
    // The peer has ended its side of the connection behind an answer without a length.
    void finishAtConnectionEnd();
    void deliverParsed();
    void parseKeepAlive(const http_response_head& head);
    void complete();
    void fail(exchange_failure failure);
    void releaseRequest();
    void close();

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    boost::asio::ip::tcp::endpoint m_server;
    std::chrono::milliseconds m_connectTimeout;
    std::chrono::milliseconds m_peerTimeout;
    // As set for the socket, which gets m_peerTimeout when it is connected.
    std::chrono::milliseconds m_unacknowledgedTimeout;
    state m_state = state::Unconnected;

    std::string m_request;
    std::shared_ptr<const std::string> m_requestBody;
    write_state m_write = write_state::InProgress;
    bool m_sentAny = false;
    bool m_used = false;
    // Shared, since a handler that cancels its own exchange must outlive its call.
    std::shared_ptr<const exchange_handlers> m_handlers;
    std::array<char, 8192> m_readBuffer {};
    std::string m_input;
    std::unique_ptr<http_parser> m_parser;
    bool m_headReported = false;
    bool m_endsAtClose = false;
    // The end of such an answer has been read, while the request is still being written.
    bool m_awaitsWrite = false;
    bool m_peerKeepsAlive = true;
    bool m_reading = false;
    std::chrono::milliseconds m_keepAliveTimeout { 0 };
    std::chrono::steady_clock::time_point m_idleSince;
};

} // namespace appleramp
