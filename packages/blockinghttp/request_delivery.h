#pragma once

#include <string_view>

namespace Poco::Net {
class HTTPClientSession;
class HTTPRequest;
} // namespace Poco::Net

namespace appleramp {

// Whether a request could be written to its end.
enum class request_delivery {
    Whole,
    // The connection failed meanwhile. The server may have answered all the same, before it read the whole request.
    Broken,
};

// Writes a request, whose head states the length of the body. Throws POCO's exceptions where nothing can be written.
//
// POCO's streams keep the error of a write to themselves, and the kernel reports a reset once: whoever reads next would see
// an orderly end of the connection.
request_delivery writeRequest(Poco::Net::HTTPClientSession& session, Poco::Net::HTTPRequest& head, std::string_view body);

} // namespace appleramp
