#include "http/server_connection.h"

#include "http/dropped_output.h"
#include "http/socket_options.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <utility>

namespace appleramp {

namespace {

// Unsent output that is buffered for a client that reads slowly. The connection is closed if there is more.
constexpr std::size_t maxPendingOutputBytes = 8UL * 1024 * 1024;
// Bytes of pipelined requests that are buffered while an earlier request is being answered.
constexpr std::size_t maxReadAheadBytes = 16UL * 1024;
// Unsent bytes that the kernel may hold, so that a reader's progress is seen in small steps.
constexpr int sendBufferBytes = 256 * 1024;
// Received bytes that the kernel may hold; they are memory of the machine as well.
constexpr int receiveBufferBytes = 64 * 1024;
// What a connection takes that does nothing.
constexpr std::size_t idleBytes = sizeof(server_connection) + 1024;
constexpr std::size_t maxWritePart = 64UL * 1024;
// Time for the peer to read the last response before the socket is closed. Closing a socket with unread input resets the
// connection, which can discard the response.
constexpr std::chrono::milliseconds lingerTimeout { 1000 };
// A connection whose peer acknowledges nothing for this long, or for the idle timeout if that is longer, is considered dead.
constexpr std::chrono::milliseconds minPeerTimeout { 9000 };

unsigned statusForParseFailure(parse_failure failure)
{
    switch (failure) {
    case parse_failure::HeaderTooLarge:
        return 431;
    case parse_failure::BodyTooLarge:
        return 413;
    default:
        return 400;
    }
}

} // namespace

server_connection::server_connection(
    boost::asio::ip::tcp::socket socket, limits_source limits, handler onRequest, std::shared_ptr<memory_account> account)
    : m_socket(std::move(socket))
    , m_timer(m_socket.get_executor())
    , m_limitsSource(std::move(limits))
    , m_onRequest(std::move(onRequest))
    , m_charge(std::move(account))
    , m_quietSince(std::chrono::steady_clock::now())
{
}

void server_connection::start()
{
    boost::system::error_code ignored; // With the kernel's own size the steps are larger.
    m_socket.set_option(boost::asio::socket_base::send_buffer_size(sendBufferBytes), ignored);
    m_socket.set_option(boost::asio::socket_base::receive_buffer_size(receiveBufferBytes), ignored);
    m_charge.resize(idleBytes);
    m_limits = m_limitsSource();
    // The kernel counts a caller that pauses with a full window as one that acknowledges nothing.
    configureSocket(m_socket, std::max(minPeerTimeout, m_limits.idleTimeout));
    armTimer();
    read();
}

std::string server_connection::peerAddress() const
{
    boost::system::error_code failure;
    const auto peer = m_socket.remote_endpoint(failure);
    return failure ? std::string() : peer.address().to_string();
}

void server_connection::read()
{
    if (m_reading || m_closed)
        return;
    m_reading = true;
    m_socket.async_read_some(boost::asio::buffer(m_readBuffer),
        [self = shared_from_this()](const boost::system::error_code& failure, std::size_t count) {
            self->m_reading = false;
            if (failure)
                self->onConnectionLost(output_loss::PeerGone);
            else
                self->onBytes(count);
        });
}

void server_connection::onBytes(std::size_t count)
{
    if (!m_lingering)
        m_input.append(m_readBuffer.data(), count);
    if (!m_answering && !m_lingering)
        parse();
    updateCharge();
    readIfRoom();
}

// While a request waits for the answer before it, a bounded part of what follows is read.
void server_connection::readIfRoom()
{
    const bool isWaiting = m_answering || (!m_parser && !m_lingering && hasUnsentOutput());
    if (!isWaiting || m_input.size() < maxReadAheadBytes)
        read();
}

void server_connection::onConnectionLost(output_loss cause)
{
    if (m_closed)
        return;
    reportDroppedOutput(cause);
    const bool hasUnansweredRequest = m_answering && !m_answerQueued;
    closeNow();
    if (hasUnansweredRequest && m_onPeerGone)
        std::exchange(m_onPeerGone, nullptr)();
}

void server_connection::reportDroppedOutput(output_loss cause)
{
    if (hasUnsentOutput() && m_onOutputDropped)
        m_onOutputDropped({ m_answerId, cause, m_outputInFlight.size() + m_pendingOutput.size() });
}

void server_connection::parse()
{
    if (m_input.empty() || m_closed)
        return;
    // A request whose answer its caller has no room for, or does not expect after the last one, is not to run.
    if (!m_parser && hasUnsentOutput())
        return;
    if (!m_parser) {
        m_limits = m_limitsSource();
        m_parser = std::make_unique<http_parser>(http_parser::message_kind::Request, m_limits.message);
        m_headTaken = false;
        armTimer();
    }
    m_input.erase(0, m_parser->consume(m_input));
    if (m_parser->failure() != parse_failure::None)
        return reject(statusForParseFailure(m_parser->failure()));
    if (!m_parser->hasHead() && m_input.size() > m_limits.message.maxHeaderBytes)
        return reject(statusForParseFailure(parse_failure::HeaderTooLarge));
    if (m_parser->hasHead() && !m_headTaken) {
        m_headTaken = true;
        m_head = m_parser->takeRequestHead();
        if (!m_parser->isComplete() && equalsIgnoringCase(m_head.headers.get("Expect"), "100-continue"))
            send("HTTP/1.1 100 Continue\r\n\r\n");
        armTimer();
    }
    if (m_parser->isComplete())
        dispatch();
}

void server_connection::dispatch()
{
    http_request request { std::move(m_head), m_parser->takeBody() };
    m_parser.reset();
    updateCharge();
    m_answering = true;
    m_answerQueued = false;
    m_answerId.clear();
    m_closeAfterAnswer = !request.head.keepAlive;
    m_timer.cancel();
    m_onRequest(shared_from_this(), std::move(request));
}

void server_connection::reject(unsigned status)
{
    http_response response;
    response.head.status = status;
    rejectWith(std::move(response));
}

void server_connection::rejectWith(http_response response)
{
    m_parser.reset();
    m_head = {};
    m_input = {};
    m_answering = true;
    m_closeAfterAnswer = true;
    respond(std::move(response));
}

std::size_t server_connection::heldBytes() const
{
    return idleBytes + m_input.size() + (m_parser ? m_parser->heldBytes() : 0) + m_pendingOutput.size() + m_outputInFlight.size();
}

void server_connection::updateCharge()
{
    if (m_closed)
        return;
    const std::size_t before = m_charge.bytes();
    m_charge.resize(heldBytes());
    if (before <= idleBytes && m_charge.bytes() > idleBytes)
        m_heldSince = std::chrono::steady_clock::now();
    if (m_charge.bytes() > before && m_onGrowth)
        m_onGrowth(m_charge.bytes());
}

connection_load server_connection::load(std::chrono::steady_clock::time_point now) const
{
    const bool holdsMore = m_charge.bytes() > idleBytes;
    return { m_charge.bytes(), holdsMore ? now - m_heldSince : now - m_quietSince, now - m_quietSince, m_answering, hasUnsentOutput() };
}

void server_connection::shed(std::optional<http_response> refusal)
{
    if (refusal && m_parser && !m_answering && !m_lingering)
        return rejectWith(std::move(*refusal));
    onConnectionLost(output_loss::Overflow);
}

void server_connection::respond(http_response response)
{
    if (m_closed)
        return;
    m_closeAfterAnswer = m_closeAfterAnswer || m_draining;
    response.head.headers.removeHopByHop();
    response.head.headers.add("Content-Length", std::to_string(response.body.size()));
    if (m_closeAfterAnswer)
        response.head.headers.add("Connection", "close");
    m_pendingOutput += serializeResponseHead(response.head);
    send(response.body);
    onAnswerQueued();
}

void server_connection::beginStream(http_response_head head)
{
    m_closeAfterAnswer = m_closeAfterAnswer || m_draining;
    head.headers.removeHopByHop();
    head.headers.add("Transfer-Encoding", "chunked");
    if (m_closeAfterAnswer)
        head.headers.add("Connection", "close");
    // Not sent until the first bytes of the body, so that both go out in one write.
    m_pendingOutput += serializeResponseHead(head);
}

void server_connection::writeStream(std::string_view bytes)
{
    if (!bytes.empty())
        send(serializeChunk(bytes));
}

void server_connection::finishStream()
{
    send("0\r\n\r\n");
    onAnswerQueued();
}

void server_connection::abort() { closeNow(); }

void server_connection::send(std::string_view bytes)
{
    if (m_closed)
        return;
    m_pendingOutput += bytes;
    if (m_pendingOutput.size() > maxPendingOutputBytes) {
        onConnectionLost(output_loss::Overflow);
        return;
    }
    if (m_outputInFlight.empty())
        writeNext();
    updateCharge();
}

void server_connection::writeNext()
{
    m_outputInFlight.swap(m_pendingOutput);
    m_pendingOutput.clear();
    // Called before each part of the write; the first call precedes all of it.
    const auto onProgress = [self = shared_from_this()](const boost::system::error_code& failure, std::size_t written) {
        const bool isBetweenRequests = !self->m_answering && !self->m_parser;
        if (written > 0 && written < self->m_outputInFlight.size() && isBetweenRequests)
            self->armTimer();
        return failure ? std::size_t(0) : maxWritePart;
    };
    boost::asio::async_write(m_socket, boost::asio::buffer(m_outputInFlight), onProgress,
        [self = shared_from_this()](const boost::system::error_code& failure, std::size_t) {
            if (failure)
                self->onConnectionLost(output_loss::PeerGone);
            else
                self->onWritten();
        });
}

void server_connection::onWritten()
{
    if (m_outputInFlight.size() > maxWritePart)
        m_outputInFlight = {};
    m_outputInFlight.clear();
    if (m_closed)
        return;
    updateCharge();
    if (!m_pendingOutput.empty())
        return writeNext();
    if (m_answering)
        return;
    if (m_closeAfterAnswer)
        return closeGracefully();
    parse();
    readIfRoom();
}

// Called when the whole response is in the output buffer. Closes the connection or continues with the next request.
void server_connection::onAnswerQueued()
{
    m_answering = false;
    m_answerQueued = true;
    m_quietSince = std::chrono::steady_clock::now();
    m_onPeerGone = nullptr;
    if (m_closeAfterAnswer) {
        if (m_outputInFlight.empty() && m_pendingOutput.empty())
            closeGracefully();
        return;
    }
    armTimer();
    // Deferred, because the handler of the request that was just answered may still be on the call stack.
    boost::asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        if (!self->m_answering)
            self->parse();
        self->readIfRoom();
    });
}

void server_connection::closeGracefully()
{
    if (m_closed || m_lingering)
        return;
    m_lingering = true;
    boost::system::error_code ignored; // Fails if the peer has already closed the connection, which needs no handling.
    m_socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
    armTimer();
    read();
}

void server_connection::closeNow()
{
    if (std::exchange(m_closed, true))
        return;
    m_timer.cancel();
    m_charge.resize(0);
    boost::system::error_code ignored; // There is no further cleanup if closing fails.
    m_socket.close(ignored);
}

void server_connection::armTimer()
{
    // The timer would keep a closed connection, and what it holds, until it fires.
    if (m_closed)
        return;
    if (m_lingering)
        m_timer.expires_after(lingerTimeout);
    else if (!m_parser)
        m_timer.expires_after(m_limits.idleTimeout);
    else
        m_timer.expires_after(m_headTaken ? m_limits.requestTimeout : m_limits.headerTimeout);
    m_timer.async_wait([self = shared_from_this()](const boost::system::error_code& failure) {
        if (!failure)
            self->onTimer();
    });
}

void server_connection::onTimer()
{
    if (m_closed || m_answering || m_timer.expiry() > std::chrono::steady_clock::now())
        return;
    if (m_parser && !m_lingering)
        return reject(408);
    reportDroppedOutput(output_loss::Idle);
    closeNow();
}

} // namespace appleramp
