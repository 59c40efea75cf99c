#include "http/server_connection.h"

#include "http/socket_options.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <utility>

namespace appleramp {

namespace {

// Output that waits for a caller that does not read; beyond it the connection is closed.
constexpr std::size_t maxPendingOutput = 8UL * 1024 * 1024;
// Bytes of later requests that are read ahead while one is being answered.
constexpr std::size_t maxReadAhead = 64UL * 1024;
// Lets the peer read the last answer before the socket goes, since closing with unread input resets the connection.
constexpr std::chrono::milliseconds lingerTime { 1000 };
// A peer that acknowledges nothing for so long is gone.
constexpr std::chrono::milliseconds silenceLimit { 9000 };

unsigned statusOf(parse_failure failure)
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

server_connection::server_connection(boost::asio::ip::tcp::socket socket, limits_source limits, handler onRequest)
    : m_socket(std::move(socket))
    , m_timer(m_socket.get_executor())
    , m_limitsSource(std::move(limits))
    , m_onRequest(std::move(onRequest))
{
}

void server_connection::start()
{
    bindSilence(m_socket, silenceLimit);
    m_limits = m_limitsSource();
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
    m_socket.async_read_some(boost::asio::buffer(m_chunk),
        [self = shared_from_this()](const boost::system::error_code& failure, std::size_t count) {
            self->m_reading = false;
            if (failure)
                self->onReadEnd();
            else
                self->onBytes(count);
        });
}

void server_connection::onBytes(std::size_t count)
{
    if (!m_lingering)
        m_input.append(m_chunk.data(), count);
    if (!m_answering && !m_lingering)
        parse();
    if (!m_answering || m_input.size() < maxReadAhead)
        read();
}

void server_connection::onReadEnd()
{
    if (m_closed)
        return;
    const bool unanswered = m_answering && !m_answerWritten;
    closeNow();
    if (unanswered && m_peerGone)
        std::exchange(m_peerGone, nullptr)();
}

void server_connection::parse()
{
    if (m_input.empty() || m_closed)
        return;
    if (!m_parser) {
        m_limits = m_limitsSource();
        m_parser = std::make_unique<http_parser>(http_parser::message_kind::Request, m_limits.message);
        m_headTaken = false;
        armTimer();
    }
    m_input.erase(0, m_parser->consume(m_input));
    if (m_parser->failure() != parse_failure::None)
        return reject(statusOf(m_parser->failure()));
    if (!m_parser->hasHead() && m_input.size() > m_limits.message.maxHeaderBytes)
        return reject(statusOf(parse_failure::HeaderTooLarge));
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
    m_answering = true;
    m_answerWritten = false;
    m_closeAfterAnswer = !request.head.keepAlive;
    m_timer.cancel();
    m_onRequest(shared_from_this(), std::move(request));
}

void server_connection::reject(unsigned status)
{
    m_parser.reset();
    m_input.clear();
    m_answering = true;
    m_closeAfterAnswer = true;
    http_response response;
    response.head.status = status;
    respond(std::move(response));
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
    send(serializeResponseHead(response.head) + response.body);
    answerDone();
}

void server_connection::beginStream(http_response_head head)
{
    m_closeAfterAnswer = m_closeAfterAnswer || m_draining;
    head.headers.removeHopByHop();
    head.headers.add("Transfer-Encoding", "chunked");
    if (m_closeAfterAnswer)
        head.headers.add("Connection", "close");
    // Held back until the first bytes of the body, so that both go out in one write.
    m_output += serializeResponseHead(head);
}

void server_connection::writeStream(std::string_view bytes)
{
    if (!bytes.empty())
        send(serializeChunk(bytes));
}

void server_connection::finishStream()
{
    send("0\r\n\r\n");
    answerDone();
}

void server_connection::abort() { closeNow(); }

void server_connection::send(std::string_view bytes)
{
    if (m_closed)
        return;
    m_output += bytes;
    if (m_output.size() > maxPendingOutput) {
        onReadEnd();
        return;
    }
    if (m_writing.empty())
        writeNext();
}

void server_connection::writeNext()
{
    m_writing.swap(m_output);
    m_output.clear();
    boost::asio::async_write(m_socket, boost::asio::buffer(m_writing),
        [self = shared_from_this()](const boost::system::error_code& failure, std::size_t) {
            if (failure)
                self->onReadEnd();
            else
                self->onWritten();
        });
}

void server_connection::onWritten()
{
    m_writing.clear();
    if (m_closed)
        return;
    if (!m_output.empty())
        return writeNext();
    if (!m_answering && m_closeAfterAnswer)
        closeGracefully();
}

// The answer is queued whole: the next request may be handed out.
void server_connection::answerDone()
{
    m_answering = false;
    m_answerWritten = true;
    m_peerGone = nullptr;
    if (m_closeAfterAnswer) {
        if (m_writing.empty() && m_output.empty())
            closeGracefully();
        return;
    }
    armTimer();
    // Not from here: the handler may still be on the stack of the request that it has just answered.
    boost::asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        if (!self->m_answering)
            self->parse();
        self->read();
    });
}

void server_connection::closeGracefully()
{
    if (m_closed || m_lingering)
        return;
    m_lingering = true;
    boost::system::error_code ignored; // The peer may have closed first, which is as good.
    m_socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
    armTimer();
    read();
}

void server_connection::closeNow()
{
    if (std::exchange(m_closed, true))
        return;
    m_timer.cancel();
    boost::system::error_code ignored; // Nothing is left to do with a socket that can't be closed.
    m_socket.close(ignored);
}

void server_connection::armTimer()
{
    if (m_lingering)
        m_timer.expires_after(lingerTime);
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
    closeNow();
}

} // namespace appleramp
