#include "http/client_connection.h"

#include "http/socket_options.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include <charconv>
#include <utility>

namespace appleramp {

namespace {

constexpr parser_limits responseLimits { .maxHeaderBytes = 65536, .maxBodyBytes = 64ULL * 1024 * 1024 };
// The kernel of a server usually takes as much before the server reads. The rest of a longer request waits for it.
constexpr std::size_t maxUnreadRequestBytes = 64UL * 1024;

} // namespace

client_connection::client_connection(boost::asio::io_context& loop, boost::asio::ip::tcp::endpoint server,
    std::chrono::milliseconds connectTimeout, std::chrono::milliseconds peerTimeout)
    : m_socket(loop)
    , m_timer(loop)
    , m_server(std::move(server))
    , m_connectTimeout(connectTimeout)
    , m_peerTimeout(peerTimeout)
    , m_unacknowledgedTimeout(peerTimeout)
{
}

response_defect client_connection::defect() const { return m_parser ? m_parser->defect() : response_defect::None; }

bool client_connection::isReusable() const { return m_state == state::Idle; }

void client_connection::exchange(std::string request, exchange_handlers handlers)
{
    exchange(std::move(request), std::make_shared<const std::string>(), std::move(handlers));
}

void client_connection::exchange(std::string head, std::shared_ptr<const std::string> body, exchange_handlers handlers)
{
    m_request = std::move(head);
    m_requestBody = std::move(body);
    m_handlers = std::make_shared<const exchange_handlers>(std::move(handlers));
    m_parser = std::make_unique<http_parser>(http_parser::message_kind::Response, responseLimits);
    m_headReported = false;
    m_endsAtClose = false;
    m_awaitsWrite = false;
    m_write = write_state::InProgress;
    m_sentAny = false;
    if (m_state == state::Idle) {
        m_state = state::Exchanging;
        write();
    } else {
        connect();
    }
}

void client_connection::cancel()
{
    m_handlers.reset();
    close();
}

void client_connection::connect()
{
    m_state = state::Connecting;
    m_timer.expires_after(m_connectTimeout);
    m_timer.async_wait([self = shared_from_this()](const boost::system::error_code& cancelled) {
        if (!cancelled && self->m_state == state::Connecting)
            self->fail(exchange_failure::ConnectTimedOut);
    });
    m_socket.async_connect(m_server, [self = shared_from_this()](const boost::system::error_code& failure) { self->onConnected(failure); });
}

void client_connection::onConnected(const boost::system::error_code& failure)
{
    if (m_state != state::Connecting)
        return;
    m_timer.cancel();
    if (failure)
        return fail(failure == boost::asio::error::connection_refused ? exchange_failure::ConnectRefused : exchange_failure::ConnectFailed);
    configureSocket(m_socket, m_peerTimeout);
    m_state = state::Exchanging;
    write();
    read();
}

void client_connection::write()
{
    m_used = true;
    m_sentAny = true;
    limitUnacknowledgedTime();
    const std::array<boost::asio::const_buffer, 2> request { boost::asio::buffer(m_request), boost::asio::buffer(*m_requestBody) };
    boost::asio::async_write(m_socket, request,
        [self = shared_from_this(), body = m_requestBody](const boost::system::error_code& failure, std::size_t) {
            self->releaseRequest();
            self->onWritten(failure ? write_state::Failed : write_state::Written);
        });
}

// The kernel counts a server that pauses with a full window as one that acknowledges nothing. Long requests end by the timeouts of
// their senders.
void client_connection::limitUnacknowledgedTime()
{
    const bool mayFillWindow = m_request.size() + m_requestBody->size() > maxUnreadRequestBytes;
    const std::chrono::milliseconds timeout = mayFillWindow ? std::chrono::milliseconds(0) : m_peerTimeout;
    if (std::exchange(m_unacknowledgedTimeout, timeout) != timeout)
        setUnacknowledgedTimeout(m_socket, timeout);
}

// A failed write does not end the exchange: the server may have answered before, and the pending read ends in any case.
void client_connection::onWritten(write_state outcome)
{
    m_write = outcome;
    if (m_awaitsWrite && m_state == state::Exchanging)
        finishAtConnectionEnd();
}

void client_connection::read()
{
    if (m_reading || m_state == state::Closed)
        return;
    m_reading = true;
    m_socket.async_read_some(boost::asio::buffer(m_readBuffer),
        [self = shared_from_this()](const boost::system::error_code& failure, std::size_t count) {
            self->m_reading = false;
            if (self->m_state == state::Closed)
                return;
            if (failure)
                return self->onConnectionEnd(failure == boost::asio::error::eof);
            self->onBytes(count);
        });
}

void client_connection::onBytes(std::size_t count)
{
    // Bytes between exchanges belong to no request; the response to the next request could be confused with them.
    if (m_state == state::Idle)
        return close();
    m_input.append(m_readBuffer.data(), count);
    m_input.erase(0, m_parser->consume(m_input));
    const auto self = shared_from_this();
    deliverParsed();
    if (m_state == state::Exchanging)
        read();
}

void client_connection::onConnectionEnd(bool orderlyClose)
{
    if (m_state == state::Idle)
        return close();
    if (!m_headReported && !m_parser->hasHead())
        return fail(exchange_failure::ClosedBeforeAnswer);
    if (!orderlyClose)
        return fail(exchange_failure::ClosedInAnswer);
    m_peerKeepsAlive = false;
    m_awaitsWrite = m_endsAtClose && m_write == write_state::InProgress;
    if (!m_awaitsWrite)
        finishAtConnectionEnd();
}

void client_connection::finishAtConnectionEnd()
{
    if (m_write == write_state::Failed)
        return fail(exchange_failure::ClosedInAnswer);
    m_parser->finishAtConnectionEnd();
    deliverParsed();
}

void client_connection::deliverParsed()
{
    if (m_parser->failure() != parse_failure::None) {
        const bool truncated = m_parser->failure() == parse_failure::Truncated;
        return fail(truncated ? exchange_failure::ClosedInAnswer : exchange_failure::Malformed);
    }
    const std::shared_ptr<const exchange_handlers> handlers = m_handlers;
    if (m_parser->hasHead() && !m_headReported) {
        m_headReported = true;
        http_response_head head = m_parser->takeResponseHead();
        m_endsAtClose = head.bodyEndsAtClose;
        parseKeepAlive(head);
        if (handlers && handlers->head)
            handlers->head(std::move(head));
    }
    if (m_state != state::Exchanging)
        return;
    std::string body = m_parser->takeBody();
    if (!body.empty() && handlers && handlers->body)
        handlers->body(std::move(body));
    if (m_state == state::Exchanging && m_parser->isComplete())
        complete();
}

void client_connection::parseKeepAlive(const http_response_head& head)
{
    m_peerKeepsAlive = head.keepAlive;
    const std::string_view parameters = head.headers.get("Keep-Alive");
    const auto position = parameters.find("timeout=");
    int seconds = 0;
    if (position != std::string_view::npos)
        std::from_chars(parameters.data() + position + 8, parameters.data() + parameters.size(), seconds);
    m_keepAliveTimeout = std::chrono::seconds(seconds);
}

void client_connection::complete()
{
    // Not reusable if the response completed before the whole request was written, or if further bytes follow it.
    const bool reusable = m_peerKeepsAlive && m_write == write_state::Written && m_input.empty();
    const std::shared_ptr<const exchange_handlers> handlers = std::exchange(m_handlers, nullptr);
    m_idleSince = std::chrono::steady_clock::now();
    m_parser.reset();
    if (reusable) {
        m_state = state::Idle;
        read();
    } else {
        close();
    }
    if (handlers && handlers->completed)
        handlers->completed();
}

void client_connection::fail(exchange_failure failure)
{
    const std::shared_ptr<const exchange_handlers> handlers = std::exchange(m_handlers, nullptr);
    close();
    if (handlers && handlers->failed)
        handlers->failed(failure);
}

// A connection that waits in the pool keeps no request.
void client_connection::releaseRequest()
{
    m_request = {};
    m_requestBody.reset();
}

void client_connection::close()
{
    if (m_state == state::Closed)
        return;
    m_state = state::Closed;
    m_timer.cancel();
    boost::system::error_code ignored; // There is no further cleanup if closing fails.
    m_socket.close(ignored);
}

} // namespace appleramp
