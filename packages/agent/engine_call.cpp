#include "agent/engine_call.h"

#include "blockinghttp/request_delivery.h"
#include "blockinghttp/response_error.h"
#include "blockinghttp/response_reader.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/StreamSocket.h>

namespace appleramp {

namespace {

constexpr int connectTimeoutSeconds = 2;
constexpr int firstVersionWithKeepAlive = 11;
// Longest body of an answer. The agent and its entry keep an answer until the caller has it.
constexpr std::size_t maxAnswerBytes = 7UL * 1024 * 1024;

std::vector<http_header> headersOf(const http_response_head& head)
{
    std::vector<http_header> headers;
    for (const auto& [name, value] : head.headers.fields())
        headers.push_back({ name, value });
    return headers;
}

// A body without framing ends with its connection. With HTTP/1.1 an engine that ends the connection as planned has
// announced it; otherwise the end shows that the engine stopped.
bool isEndOfConnectionPlanned(const http_response_head& head)
{
    return head.version < firstVersionWithKeepAlive || equalsIgnoringCase(head.headers.get("Connection"), "close");
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
    const std::optional<request_delivery> delivery = send();
    if (!delivery)
        return;
    try {
        receive(*delivery);
    } catch (const Poco::TimeoutException&) {
        reportFailure(failure_cause::EndpointTimeout, false);
    } catch (const Poco::Exception&) {
        reportFailure(failure_cause::EndpointCrashed, false);
    } catch (const response_error&) {
        reportFailure(failure_cause::EndpointCrashed, false);
    }
}

void engine_call::cancel()
{
    m_cancelled = true;
    m_session->abort();
}

std::optional<request_delivery> engine_call::send()
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
        return writeRequest(*m_session, head, request.body);
    } catch (const Poco::Net::ConnectionRefusedException&) {
        // A refused connection proves that the endpoint received nothing.
        reportFailure(failure_cause::EndpointCrashed, true);
        return std::nullopt;
    } catch (const Poco::Exception&) {
        // The session closes itself on any failure, so its state does not show whether something was sent.
        reportFailure(failure_cause::EndpointCrashed, false);
        return std::nullopt;
    }
}

void engine_call::receive(request_delivery delivery)
{
    response_reader reader(m_session->socket(), m_effect.request.method, delivery);
    const http_response_head head = reader.readHead();
    m_sink(engine_head { m_effect.call, static_cast<std::uint16_t>(head.status), headersOf(head) });
    std::size_t received = 0;
    for (std::string data = reader.readBody(); !data.empty(); data = reader.readBody()) {
        received += data.size();
        // The engine has not crashed, and the request is no suspect.
        if (received > maxAnswerBytes)
            return reportFailure(failure_cause::EndpointTimeout, false);
        m_sink(engine_data { m_effect.call, std::move(data) });
    }
    if (m_cancelled || (head.bodyEndsAtClose && !isEndOfConnectionPlanned(head)))
        reportFailure(failure_cause::EndpointCrashed, false);
    else
        m_sink(engine_end { m_effect.call });
}

void engine_call::reportFailure(failure_cause cause, bool neverSent)
{
    m_sink(engine_failed { m_effect.call, m_cancelled ? failure_cause::Cancelled : cause, neverSent });
}

} // namespace appleramp
