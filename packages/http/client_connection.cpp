#include "http/client_connection.h"

#include "http/socket_options.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <charconv>
#include <utility>

namespace appleramp {

namespace {

constexpr parser_limits answerLimits { .maxHeaderBytes = 65536, .maxBodyBytes = 64ULL * 1024 * 1024 };

} // namespace

client_connection::client_connection(boost::asio::io_context& loop, boost::asio::ip::tcp::endpoint server,
    std::chrono::milliseconds connectTimeout, std::chrono::milliseconds silenceLimit)
    : m_socket(loop)
    , m_timer(loop)
    , m_server(std::move(server))
    , m_connectTimeout(connectTimeout)
    , m_silenceLimit(silenceLimit)
{
}

bool client_connection::isReusable() const { return m_state == state::Idle; }

void client_connection::exchange(std::string request, exchange_handlers handlers)
{
    m_request = std::move(request);
    m_handlers = std::move(handlers);
    m_parser = std::make_unique<http_parser>(http_parser::message_kind::Response, answerLimits);
    m_headReported = false;
    m_written = false;
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
    m_handlers = {};
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
        return fail(exchange_failure::ConnectRefused);
    bindSilence(m_socket, m_silenceLimit);
    m_state = state::Exchanging;
    write();
    read();
}

void client_connection::write()
{
    m_used = true;
    m_sentAny = true;
    boost::asio::async_write(m_socket, boost::asio::buffer(m_request),
        [self = shared_from_this()](const boost::system::error_code& failure, std::size_t) {
            // The reading side learns of a broken connection and knows whether an answer came first.
            if (!failure)
                self->m_written = true;
        });
}

void client_connection::read()
{
    if (m_reading || m_state == state::Closed)
        return;
    m_reading = true;
    m_socket.async_read_some(boost::asio::buffer(m_chunk),
        [self = shared_from_this()](const boost::system::error_code& failure, std::size_t count) {
            self->m_reading = false;
            if (self->m_state == state::Closed)
                return;
            if (failure)
                return self->onEnd(failure == boost::asio::error::eof);
            self->onBytes(count);
        });
}

void client_connection::onBytes(std::size_t count)
{
    // Bytes between exchanges answer nothing: the connection can't be trusted any more.
    if (m_state == state::Idle)
        return close();
    m_input.append(m_chunk.data(), count);
    m_input.erase(0, m_parser->consume(m_input));
    const auto self = shared_from_this();
    report();
    if (m_state == state::Exchanging)
        read();
}

void client_connection::onEnd(bool orderly)
{
    if (m_state == state::Idle)
        return close();
    if (!m_headReported && !m_parser->hasHead())
        return fail(exchange_failure::ClosedBeforeAnswer);
    if (!orderly)
        return fail(exchange_failure::ClosedInAnswer);
    m_parser->finishAtEnd();
    m_peerKeepsAlive = false;
    report();
}

void client_connection::report()
{
    if (m_parser->failure() != parse_failure::None) {
        const bool truncated = m_parser->failure() == parse_failure::Truncated;
        return fail(truncated ? exchange_failure::ClosedInAnswer : exchange_failure::Malformed);
    }
    if (m_parser->hasHead() && !m_headReported) {
        m_headReported = true;
        http_response_head head = m_parser->takeResponseHead();
        noteKeepAlive(head);
        if (m_handlers.head)
            m_handlers.head(std::move(head));
    }
    if (m_state != state::Exchanging)
        return;
    std::string body = m_parser->takeBody();
    if (!body.empty() && m_handlers.body)
        m_handlers.body(std::move(body));
    if (m_state == state::Exchanging && m_parser->isComplete())
        complete();
}

void client_connection::noteKeepAlive(const http_response_head& head)
{
    m_peerKeepsAlive = head.keepAlive;
    const std::string_view terms = head.headers.get("Keep-Alive");
    const auto at = terms.find("timeout=");
    int seconds = 0;
    if (at != std::string_view::npos)
        std::from_chars(terms.data() + at + 8, terms.data() + terms.size(), seconds);
    m_keepAlive = std::chrono::seconds(seconds);
}

void client_connection::complete()
{
    // An answer that came before the request was sent whole, or with more behind it, leaves the connection in doubt.
    const bool reusable = m_peerKeepsAlive && m_written && m_input.empty();
    exchange_handlers handlers = std::exchange(m_handlers, {});
    m_idleSince = std::chrono::steady_clock::now();
    m_parser.reset();
    if (reusable) {
        m_state = state::Idle;
        read();
    } else {
        close();
    }
    if (handlers.completed)
        handlers.completed();
}

void client_connection::fail(exchange_failure failure)
{
    exchange_handlers handlers = std::exchange(m_handlers, {});
    close();
    if (handlers.failed)
        handlers.failed(failure);
}

void client_connection::close()
{
    if (m_state == state::Closed)
        return;
    m_state = state::Closed;
    m_timer.cancel();
    boost::system::error_code ignored; // Nothing is left to do with a socket that can't be closed.
    m_socket.close(ignored);
}

} // namespace appleramp
