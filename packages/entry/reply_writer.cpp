#include "entry/reply_writer.h"

#include "model/enum_names.h"

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/String.h>
#include <nlohmann/json.hpp>

namespace appleramp {

namespace {

constexpr auto executionHeader = "Appleramp-Execution";

// Retry-After has whole seconds. The wait is rounded up, as otherwise the caller would retry too early.
std::int64_t retryAfterSeconds(duration wait)
{
    return std::chrono::ceil<std::chrono::seconds>(wait).count();
}

bool isHopByHop(const std::string& name)
{
    return Poco::icompare(name, "Connection") == 0 || Poco::icompare(name, "Transfer-Encoding") == 0
        || Poco::icompare(name, "Content-Length") == 0 || Poco::icompare(name, "Keep-Alive") == 0;
}

} // namespace

std::string problemDocument(const problem& answer)
{
    nlohmann::json document { { "type", "about:blank" }, { "title", answer.reason }, { "status", answer.status },
        { "reason", answer.reason }, { "detail", answer.detail }, { "execution", nameOf(answer.outcome) } };
    if (answer.retryAfter)
        document["retry_after_ms"] = std::chrono::ceil<std::chrono::milliseconds>(*answer.retryAfter).count();
    return document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

struct reply_writer::piece_visitor {
    reply_writer& self;

    bool operator()(const reply_problem& piece) const
    {
        self.sendProblem(piece.answer);
        return true;
    }
    bool operator()(const reply_head& piece) const
    {
        self.sendHead(piece);
        return false;
    }
    bool operator()(const reply_data& piece) const
    {
        self.sendData(piece.data);
        return false;
    }
    bool operator()(const reply_end& /*piece*/) const
    {
        self.m_stream->flush();
        return true;
    }
    bool operator()(const reply_aborted& piece) const
    {
        self.abortReply(piece.answer);
        return true;
    }
    bool operator()(const reply_document& piece) const
    {
        self.sendDocument(piece);
        return true;
    }
};

reply_writer::reply_writer(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response)
    : m_request(request)
    , m_response(response)
{
}

bool reply_writer::write(const reply_piece& piece) { return std::visit(piece_visitor { *this }, piece); }

bool reply_writer::isCallerDisconnected()
{
    auto& socket = dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(m_request).socket();
    return socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ) && socket.available() == 0;
}

void reply_writer::sendProblem(const problem& answer)
{
    m_response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(answer.status));
    m_response.setReason(Poco::Net::HTTPResponse::getReasonForStatus(m_response.getStatus()));
    m_response.setContentType("application/problem+json");
    m_response.set(executionHeader, std::string(nameOf(answer.outcome)));
    if (answer.retryAfter)
        m_response.set("Retry-After", std::to_string(retryAfterSeconds(*answer.retryAfter)));
    // The connection is closed, as the unread rest of a rejected body would be parsed as the next request.
    if (answer.outcome == execution::NotStarted && answer.status < Poco::Net::HTTPResponse::HTTP_INTERNAL_SERVER_ERROR)
        m_response.setKeepAlive(false);
    const auto body = problemDocument(answer);
    m_response.sendBuffer(body.data(), body.size());
}

void reply_writer::sendHead(const reply_head& head)
{
    m_response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(head.status));
    m_response.setReason(Poco::Net::HTTPResponse::getReasonForStatus(m_response.getStatus()));
    for (const auto& header : head.headers) {
        if (!isHopByHop(header.name))
            m_response.set(header.name, header.value);
    }
    m_response.set(executionHeader, std::string(nameOf(execution::Completed)));
    m_response.setChunkedTransferEncoding(true);
    m_isEventStream = m_response.getContentType().starts_with("text/event-stream");
    m_stream = &m_response.send();
    m_stream->flush();
}

void reply_writer::sendData(const std::string& data)
{
    m_stream->write(data.data(), static_cast<std::streamsize>(data.size()));
    m_stream->flush();
    if (!*m_stream)
        throw Poco::Net::ConnectionResetException("the caller closed the connection");
}

void reply_writer::sendDocument(const reply_document& document)
{
    m_response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(document.status));
    m_response.setContentType("application/json");
    m_response.sendBuffer(document.json.data(), document.json.size());
}

void reply_writer::abortReply(const problem& answer)
{
    if (m_isEventStream) {
        *m_stream << "event: error\ndata: " << problemDocument(answer) << "\n\n";
        m_stream->flush();
    }
    // The last chunk is not sent, so an HTTP client detects that the response is incomplete.
    auto& socket = dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(m_request).socket();
    socket.shutdown();
}

} // namespace appleramp
