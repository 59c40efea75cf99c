#include "agent/engine_call.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/StreamSocket.h>

namespace appleramp {

namespace {

constexpr int connectTimeoutSeconds = 2;

std::vector<http_header> headersOf(const Poco::Net::HTTPResponse& response)
{
    std::vector<http_header> headers;
    for (const auto& [name, value] : response)
        headers.push_back({ name, value });
    return headers;
}

} // namespace

engine_call::engine_call(const std::string& host, std::uint16_t port, call_engine effect, event_sink sink)
    : m_effect(std::move(effect))
    , m_sink(std::move(sink))
    , m_session(std::make_unique<Poco::Net::HTTPClientSession>(host, port))
{
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(m_effect.request.timeout).count();
    const Poco::Timespan responseTimeout(static_cast<long>(seconds), 0);
    m_session->setTimeout(Poco::Timespan(connectTimeoutSeconds, 0), responseTimeout, responseTimeout);
    m_session->setKeepAlive(true);
}

engine_call::~engine_call() = default;

void engine_call::run()
{
    if (!send())
        return;
    try {
        receive();
    } catch (const Poco::TimeoutException&) {
        reportFailure(failure_cause::EndpointTimeout, false);
    } catch (const Poco::Exception&) {
        reportFailure(failure_cause::EndpointCrashed, false);
    }
}

void engine_call::cancel()
{
    m_cancelled = true;
    m_session->abort();
}

bool engine_call::send()
{
    const auto& request = m_effect.request;
    Poco::Net::HTTPRequest head(request.method, request.path, Poco::Net::HTTPMessage::HTTP_1_1);
    for (const auto& header : request.headers)
        head.set(header.name, header.value);
    if (!request.traceparent.empty())
        head.set("traceparent", request.traceparent);
    head.setKeepAlive(true);
    head.setContentLength64(static_cast<std::int64_t>(request.body.size()));
    try {
        auto& stream = m_session->sendRequest(head);
        stream.write(request.body.data(), static_cast<std::streamsize>(request.body.size()));
        stream.flush();
        return true;
    } catch (const Poco::Net::ConnectionRefusedException&) {
        // A refused connection proves that the endpoint received nothing.
        reportFailure(failure_cause::EndpointCrashed, true);
        return false;
    } catch (const Poco::Exception&) {
        // The session closes itself on any failure, so its state does not show whether something was sent.
        reportFailure(failure_cause::EndpointCrashed, false);
        return false;
    }
}

void engine_call::receive()
{
    Poco::Net::HTTPResponse response;
    auto& stream = m_session->receiveResponse(response);
    m_sink(engine_head { m_effect.call, static_cast<std::uint16_t>(response.getStatus()), headersOf(response) });
    forwardBody(stream);
    if (isResponseComplete(response))
        m_sink(engine_end { m_effect.call });
    else
        reportFailure(failure_cause::EndpointCrashed, false);
}

void engine_call::forwardBody(std::istream& stream)
{
    std::string chunk;
    // peek() fills the stream's buffer with what has arrived. Only that much is read, so that data is forwarded without
    // waiting for more.
    while (stream.peek() != std::istream::traits_type::eof()) {
        const auto available = stream.rdbuf()->in_avail();
        chunk.resize(static_cast<std::size_t>(available));
        stream.read(chunk.data(), available);
        m_receivedBodyBytes += chunk.size();
        m_sink(engine_data { m_effect.call, chunk });
    }
}

bool engine_call::isResponseComplete(const Poco::Net::HTTPResponse& response)
{
    if (m_cancelled)
        return false;
    if (response.hasContentLength())
        return m_receivedBodyBytes == static_cast<std::uint64_t>(response.getContentLength64());
    if (!response.getKeepAlive())
        return true;
    // Poco's chunked stream reports the end of the stream both after the last chunk and when the connection breaks. As the
    // connection is kept alive, the response was truncated if the socket is closed. The stream has already reached its
    // end, so the socket is polled without a timeout.
    auto& socket = m_session->socket();
    const bool readable = socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ);
    return !readable || socket.available() > 0;
}

void engine_call::reportFailure(failure_cause cause, bool neverSent)
{
    m_sink(engine_failed { m_effect.call, m_cancelled ? failure_cause::Cancelled : cause, neverSent });
}

} // namespace appleramp
