#pragma once

#include "model/effects.h"
#include "model/request.h"

#include <optional>
#include <string>
#include <variant>

namespace Poco::Net {
class HTTPServerRequest;
}

namespace appleramp {

struct entry_services;

// Limits for the body of one request.
struct body_limits {
    std::size_t maxBytes = 0;
    duration readTimeout {};
};
body_limits limitsOf(const entry_services&);

// Reads the body of a request. Returns a problem if the body is chunked, too large, too slow or truncated. A request with
// neither a Content-Length nor a chunked body has an empty body.
std::variant<std::string, problem> readBody(Poco::Net::HTTPServerRequest& request, body_limits limits);

// Checks the syntax of the URI and the total size of URI and headers, before the body is read. Returns the problem, if
// any.
std::optional<problem> checkHead(const Poco::Net::HTTPServerRequest& request, std::size_t maxHeaderBytes);

// Reads and parses a caller's HTTP request, or returns the problem with it. Does not determine whether the route is
// repeatable.
std::variant<service_request, problem> readServiceRequest(Poco::Net::HTTPServerRequest& request,
    body_limits limits, duration defaultTimeout);

} // namespace appleramp
