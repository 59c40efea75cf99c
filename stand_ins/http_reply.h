#pragma once

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <string>
#include <string_view>

namespace Poco::Net {
class HTTPServerRequest;
class HTTPServerResponse;
} // namespace Poco::Net

namespace appleramp::stand_ins {

// Method, path and decoded parameters of a request.
struct request_line {
    std::string method;
    std::string path;
    std::map<std::string, std::string> parameters;

    std::string parameter(const std::string& name) const;
    std::uint64_t number(const std::string& name) const;
};

request_line parseRequestLine(const Poco::Net::HTTPServerRequest& request);
std::string readBody(Poco::Net::HTTPServerRequest& request);

void sendJson(Poco::Net::HTTPServerResponse& response, int status, const nlohmann::json& document);
void sendBytes(Poco::Net::HTTPServerResponse& response, int status, std::string_view body);
void sendError(Poco::Net::HTTPServerResponse& response, int status, const std::string& reason);

// Closes the connection without an answer.
void dropConnection(Poco::Net::HTTPServerRequest& request);

} // namespace appleramp::stand_ins
