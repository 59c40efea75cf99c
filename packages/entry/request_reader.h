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

// What a body may take.
struct body_limits {
    std::size_t maxBytes = 0;
    duration readTimeout {};
};
body_limits limitsOf(const entry_services&);

// Reads the body of a request, or says why not: its length is not announced, it is larger than allowed, too slow or cut
// short.
std::variant<std::string, problem> readBody(Poco::Net::HTTPServerRequest& request, body_limits limits);

// Says what is wrong with a request's line and headers before anything else is read, if anything is.
std::optional<problem> checkHead(const Poco::Net::HTTPServerRequest& request, std::size_t maxHeaderBytes);

// Makes a typed request of a caller's HTTP request, or says what is wrong with it. Whether the route may be repeated is
// not decided here.
std::variant<service_request, problem> readServiceRequest(Poco::Net::HTTPServerRequest& request,
    body_limits limits, duration defaultTimeout);

} // namespace appleramp
