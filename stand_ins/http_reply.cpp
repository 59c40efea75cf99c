#include "stand_ins/http_reply.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/NumberParser.h>
#include <Poco/StreamCopier.h>
#include <Poco/URI.h>
#include <nlohmann/json.hpp>

namespace appleramp::stand_ins {

std::string request_line::parameter(const std::string& name) const
{
    const auto found = parameters.find(name);
    return found == parameters.end() ? std::string() : found->second;
}

std::uint64_t request_line::number(const std::string& name) const
{
    const auto text = parameter(name);
    return text.empty() ? 0 : Poco::NumberParser::parseUnsigned64(text);
}

request_line parseRequestLine(const Poco::Net::HTTPServerRequest& request)
{
    const Poco::URI uri(request.getURI());
    request_line line { request.getMethod(), uri.getPath(), {} };
    for (const auto& [name, value] : uri.getQueryParameters())
        line.parameters[name] = value;
    return line;
}

std::string readBody(Poco::Net::HTTPServerRequest& request)
{
    std::string body;
    Poco::StreamCopier::copyToString(request.stream(), body);
    return body;
}

void sendJson(Poco::Net::HTTPServerResponse& response, int status, const nlohmann::json& document)
{
    response.setContentType("application/json");
    sendBytes(response, status, document.dump());
}

void sendBytes(Poco::Net::HTTPServerResponse& response, int status, std::string_view body)
{
    response.setStatusAndReason(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    response.setContentLength(static_cast<std::streamsize>(body.size()));
    response.send().write(body.data(), static_cast<std::streamsize>(body.size())).flush();
}

void sendError(Poco::Net::HTTPServerResponse& response, int status, const std::string& reason)
{
    sendJson(response, status, { { "error", reason } });
}

void dropConnection(Poco::Net::HTTPServerRequest& request)
{
    auto& implementation = dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(request);
    implementation.response().setKeepAlive(false);
    implementation.socket().shutdown();
}

} // namespace appleramp::stand_ins
