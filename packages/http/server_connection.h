#pragma once

#include "http/http_message.h"
#include "http/http_parser.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace appleramp {

struct server_limits {
    parser_limits message;
    // For the head of a request to arrive whole, counted from its first byte.
    std::chrono::milliseconds headerTimeout { 10'000 };
    // For the whole request.
    std::chrono::milliseconds requestTimeout { 20'000 };
    // Between requests.
    std::chrono::milliseconds idleTimeout { 60'000 };
};

// One connection of a caller: reads requests one after the other, hands each to a handler and writes its answer.
//
// It owns itself while the socket lives. A handler answers by respond(), or by beginStream(), writeStream() and
// finishStream(); until then no further request is handed out. All calls come from the loop's thread.
class server_connection : public std::enable_shared_from_this<server_connection> {
public:
    using handler = std::function<void(const std::shared_ptr<server_connection>&, http_request)>;
    // Asked for each request, so that limits may change while the connection lives.
    using limits_source = std::function<server_limits()>;

    server_connection(boost::asio::ip::tcp::socket socket, limits_source limits, handler onRequest);

    void start();
    // Called once if the peer leaves while its request is unanswered.
    void onPeerGone(std::function<void()> notify) { m_peerGone = std::move(notify); }

    void respond(http_response response);
    void beginStream(http_response_head head);
    void writeStream(std::string_view bytes);
    void finishStream();
    // Closes without completing the answer.
    void abort();
    // The next answer says that the connection closes; an idle connection stays open for the request on its way.
    void beginDrain() { m_draining = true; }

    bool isAnswering() const { return m_answering; }
    std::string peerAddress() const;
    boost::asio::ip::tcp::socket::executor_type executor() { return m_socket.get_executor(); }

private:
    void read();
    void onBytes(std::size_t count);
    void onReadEnd();
    void parse();
    void dispatch();
    void reject(unsigned status);
    void send(std::string_view bytes);
    void writeNext();
    void onWritten();
    void answerDone();
    void closeGracefully();
    void closeNow();
    void armTimer();
    void onTimer();

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    limits_source m_limitsSource;
    server_limits m_limits;
    handler m_onRequest;
    std::function<void()> m_peerGone;

    std::array<char, 16384> m_chunk {};
    std::string m_input;
    std::unique_ptr<http_parser> m_parser;
    http_request_head m_head;
    bool m_headTaken = false;

    std::string m_output;
    std::string m_writing;
    bool m_answering = false;
    bool m_closeAfterAnswer = false;
    bool m_draining = false;
    bool m_reading = false;
    bool m_lingering = false;
    bool m_closed = false;
    bool m_answerWritten = false;
};

} // namespace appleramp
