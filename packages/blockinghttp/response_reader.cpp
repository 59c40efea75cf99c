#include "blockinghttp/response_reader.h"

#include "blockinghttp/response_error.h"
#include "http/http_parser.h"

#include <Poco/Net/StreamSocket.h>

#include <array>
#include <limits>

namespace appleramp {

namespace {

// The body is handed on as it arrives; readWholeBody() has a limit of its own.
constexpr parser_limits responseLimits { .maxHeaderBytes = 65536, .maxBodyBytes = std::numeric_limits<std::uint64_t>::max() };
constexpr std::size_t readBufferBytes = 8192;

} // namespace

response_reader::response_reader(const Poco::Net::StreamSocket& socket, std::string_view method, request_delivery delivery)
    : m_socket(std::make_unique<Poco::Net::StreamSocket>(socket))
    , m_parser(std::make_unique<http_parser>(http_parser::message_kind::Response, responseLimits))
    , m_hasBody(method != "HEAD")
    , m_delivery(delivery)
{
}

response_reader::~response_reader() = default;

http_response_head response_reader::readHead()
{
    while (!m_parser->hasHead())
        receive();
    http_response_head head = m_parser->takeResponseHead();
    m_keepAlive = head.keepAlive;
    return head;
}

std::string response_reader::readBody()
{
    std::string body = m_parser->takeBody();
    while (body.empty() && !isComplete()) {
        receive();
        body = m_parser->takeBody();
    }
    return body;
}

std::string response_reader::readWholeBody()
{
    std::string body;
    for (std::string part = readBody(); !part.empty(); part = readBody()) {
        body += part;
        if (body.size() > maxWholeBodyBytes)
            throw response_error("the body of the response is too long");
    }
    return body;
}

bool response_reader::isConnectionReusable() const { return m_keepAlive && isComplete() && m_input.empty(); }

void response_reader::receive()
{
    std::array<char, readBufferBytes> buffer {};
    const int count = m_socket->receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
    if (count <= 0)
        return finishAtConnectionEnd();
    m_input.append(buffer.data(), static_cast<std::size_t>(count));
    parse();
}

void response_reader::finishAtConnectionEnd()
{
    if (!m_parser->hasHead())
        throw response_error("the connection ended before the head of the response was complete");
    // The error of the connection may have been reported to the write.
    if (m_delivery == request_delivery::Broken)
        throw response_error("the connection broke while the request was written");
    m_parser->finishAtConnectionEnd();
    if (m_parser->failure() != parse_failure::None)
        throw response_error("the connection ended in the body of the response");
}

void response_reader::parse()
{
    m_input.erase(0, m_parser->consume(m_input));
    if (m_parser->failure() != parse_failure::None)
        throw response_error("the response is not valid HTTP: " + std::string(nameOf(m_parser->defect())));
}

bool response_reader::isComplete() const { return !m_hasBody || m_parser->isComplete(); }

} // namespace appleramp
