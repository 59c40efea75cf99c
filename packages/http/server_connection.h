#pragma once

#include "http/http_message.h"
#include "http/http_parser.h"
#include "memory/connection_load.h"
#include "memory/memory_charge.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace appleramp {

struct dropped_output;
enum class output_loss;

struct server_limits {
    parser_limits message;
    // Longest time from the first byte of a request until its head is complete.
    std::chrono::milliseconds headerTimeout { 10'000 };
    // Longest time from the end of the head until the request is complete.
    std::chrono::milliseconds requestTimeout { 20'000 };
    // Longest time on an open connection in which it gets no request and takes no part of an answer.
    std::chrono::milliseconds idleTimeout { 60'000 };
};

// An accepted HTTP/1.1 connection: reads requests, passes one at a time to the handler and writes the responses.
//
// Pending operations keep the object alive while the socket is open. The handler responds with respond(), or with
// beginStream(), writeStream() and finishStream(). The next request is passed on only after that, once the kernel has taken
// the whole answer, so pipelined requests are answered in order. All calls must come from the thread that runs the io_context.
class server_connection : public std::enable_shared_from_this<server_connection> {
public:
    using handler = std::function<void(const std::shared_ptr<server_connection>&, http_request)>;
    // Called for each request, so that the limits can change while the connection is open.
    using limits_source = std::function<server_limits()>;
    using output_watcher = std::function<void(const dropped_output&)>;

    // Without an account, what the connection holds is not counted.
    server_connection(boost::asio::ip::tcp::socket socket, limits_source limits, handler onRequest, std::shared_ptr<memory_account> account = nullptr);

    void start();
    // Registers a callback that is called once if the connection is lost while its request is unanswered.
    void onPeerGone(std::function<void()> notify) { m_onPeerGone = std::move(notify); }

    // Names the current answer in reports of dropped output.
    void identifyAnswer(std::string id) { m_answerId = std::move(id); }
    // Registers a callback for the case that the connection is closed with output unsent, other than by abort().
    void onOutputDropped(output_watcher notify) { m_onOutputDropped = std::move(notify); }

    // Registers a callback that is called with the bytes held whenever these have grown.
    void onGrowth(std::function<void(std::size_t heldBytes)> notify) { m_onGrowth = std::move(notify); }

    void respond(http_response response);
    void beginStream(http_response_head head);
    void writeStream(std::string_view bytes);
    void finishStream();
    // Closes the connection without completing the response.
    void abort();
    // Makes the next response close the connection. An idle connection stays open, since a request may already be on its
    // way.
    void beginDrain() { m_draining = true; }

    // Gives up what the connection holds: answers a request that is not complete with the refusal, if there is one, or closes the connection.
    void shed(std::optional<http_response> refusal);
    bool isClosed() const { return m_closed; }
    connection_load load(std::chrono::steady_clock::time_point now) const;

    bool isAnswering() const { return m_answering; }
    // An answer has not been handed to the kernel completely, or the connection waits for its peer to close after the last one. Ending the
    // process then may reset the connection, and take from the peer what it has not read.
    bool hasUnfinishedAnswer() const { return !m_closed && (m_answering || hasUnsentOutput() || m_lingering); }
    std::string peerAddress() const;
    boost::asio::ip::tcp::socket::executor_type executor() { return m_socket.get_executor(); }

private:
    bool hasUnsentOutput() const { return !m_outputInFlight.empty() || !m_pendingOutput.empty(); }
    void reportDroppedOutput(output_loss cause);
    void read();
    void readIfRoom();
    void onBytes(std::size_t count);
    void onConnectionLost(output_loss cause);
    void parse();
    void dispatch();
    void reject(unsigned status);
    void rejectWith(http_response response);
    std::size_t heldBytes() const;
    void updateCharge();
    void send(std::string_view bytes);
    void writeNext();
    void onWritten();
    void onAnswerQueued();
    void closeGracefully();
    void closeNow();
    void armTimer();
    void onTimer();

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    limits_source m_limitsSource;
    server_limits m_limits;
    handler m_onRequest;
    std::function<void()> m_onPeerGone;
    output_watcher m_onOutputDropped;
    std::string m_answerId;

    std::function<void(std::size_t)> m_onGrowth;
    memory_charge m_charge;
    // Since when more is held than an idle connection takes.
    std::chrono::steady_clock::time_point m_heldSince;
    // When the connection was opened, or its last answer was sent.
    std::chrono::steady_clock::time_point m_quietSince;

    std::array<char, 4096> m_readBuffer {};
    std::string m_input;
    std::unique_ptr<http_parser> m_parser;
    http_request_head m_head;
    bool m_headTaken = false;

    std::string m_pendingOutput;
    std::string m_outputInFlight;
    bool m_answering = false;
    bool m_closeAfterAnswer = false;
    bool m_draining = false;
    bool m_reading = false;
    bool m_lingering = false;
    bool m_closed = false;
    bool m_answerQueued = false;
};

} // namespace appleramp
