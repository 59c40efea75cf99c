#include "appleramp/operations_client.h"

#include "appleramp/command_error.h"
#include "appleramp/usage_error.h"
#include "blockinghttp/response_error.h"
#include "blockinghttp/response_reader.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/StringTokenizer.h>

namespace appleramp {

namespace {

constexpr std::int64_t microsecondsPerMillisecond = 1000;

[[noreturn]] void throwLostResponse(const Poco::Net::SocketAddress& address, const std::string& cause)
{
    throw command_error("the response of " + address.toString() + " was lost (" + cause
        + "); the outcome is unknown: check with 'appleramp config get' before you send it again");
}

// Thrown if the connection could not be established, so that the entry has received nothing.
class unreachable_entry : public command_error {
public:
    using command_error::command_error;
};

Poco::Net::StreamSocket connect(const Poco::Net::SocketAddress& address, const Poco::Timespan& timeout)
{
    try {
        Poco::Net::StreamSocket socket;
        socket.connect(address, timeout);
        return socket;
    } catch (const Poco::Exception& cause) {
        throw unreachable_entry("no entry answers at " + address.toString() + " (" + cause.displayText()
            + "); check --entry, or name another entry");
    }
}

} // namespace

operations_client::operations_client(const std::string& addresses, std::uint32_t timeoutMs)
    : m_timeoutMs(timeoutMs)
{
    const Poco::StringTokenizer tokens(
        addresses, ",", Poco::StringTokenizer::TOK_TRIM | Poco::StringTokenizer::TOK_IGNORE_EMPTY);
    if (tokens.count() == 0)
        throw usage_error("no entry is named; write --entry=IP:PORT with an entry's operations address, or set "
                          "APPLERAMP_ENTRY");
    for (const std::string& token : tokens) {
        try {
            const Poco::Net::SocketAddress parsed(token);
            m_addresses.push_back({ parsed.host().toString(), parsed.port() });
        } catch (const Poco::Exception&) {
            throw usage_error("'" + token + "' is not an address; write --entry=IP:PORT");
        }
    }
}

operations_response operations_client::get(const std::string& pathAndQuery) const
{
    return send({ "GET", pathAndQuery, "" });
}

operations_response operations_client::post(const std::string& path, const std::string& json) const
{
    return send({ "POST", path, json });
}

operations_response operations_client::send(const outgoing_request& request) const
{
    for (std::size_t i = 0; i + 1 < m_addresses.size(); ++i) {
        try {
            return sendTo(m_addresses[i], request);
        } catch (const unreachable_entry&) {
            continue;
        }
    }
    return sendTo(m_addresses.back(), request);
}

operations_response operations_client::sendTo(const address& entry, const outgoing_request& outgoing) const
{
    const Poco::Net::SocketAddress address(entry.host, entry.port);
    const Poco::Timespan timeout(m_timeoutMs * microsecondsPerMillisecond);
    Poco::Net::HTTPClientSession session(connect(address, timeout));
    session.setTimeout(timeout);
    try {
        Poco::Net::HTTPRequest request(outgoing.method, outgoing.path, Poco::Net::HTTPMessage::HTTP_1_1);
        request.setHost(entry.host, entry.port);
        request.setContentType("application/json");
        request.setContentLength64(static_cast<Poco::Int64>(outgoing.body.size()));
        const request_delivery delivery = writeRequest(session, request, outgoing.body);
        response_reader reader(session.socket(), outgoing.method, delivery);
        operations_response result;
        result.status = static_cast<std::uint16_t>(reader.readHead().status);
        result.body = reader.readWholeBody();
        return result;
    } catch (const Poco::Exception& cause) {
        throwLostResponse(address, cause.displayText());
    } catch (const response_error& cause) {
        throwLostResponse(address, cause.what());
    }
}

} // namespace appleramp
