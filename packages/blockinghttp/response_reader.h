#pragma once

#include "blockinghttp/request_delivery.h"
#include "http/http_message.h"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace Poco::Net {
class StreamSocket;
} // namespace Poco::Net

namespace appleramp {

class http_parser;

// Reads one HTTP/1.1 response from a blocking socket, to which the request has been written.
//
// POCO's own reader takes the end of the connection for the end of the head or of the last chunk, and does not compare
// the body with its length, so that a response that was cut off looks whole. This one throws response_error in each of
// these cases, also where a response without a length ends after a broken request, and POCO's exceptions where the
// connection is reset or the socket's timeout passes.
class response_reader {
public:
    static constexpr std::size_t maxWholeBodyBytes = 16UL * 1024 * 1024;

    // `method` is that of the request: a response to HEAD has no body.
    response_reader(const Poco::Net::StreamSocket& socket, std::string_view method, request_delivery delivery);
    ~response_reader();
    response_reader(const response_reader&) = delete;
    response_reader& operator=(const response_reader&) = delete;

    // Waits for the whole head of the response, behind interim ones. Must be called once, before the body is read.
    http_response_head readHead();
    // Waits for further bytes of the body and returns what has arrived; empty at the end of a whole body.
    std::string readBody();
    // Waits for the rest of the body. Throws if it is longer than maxWholeBodyBytes.
    std::string readWholeBody();

    // True if another request may be sent on the connection, once the body has been read.
    bool isConnectionReusable() const;

private:
    void receive();
    void finishAtConnectionEnd();
    void parse();
    bool isComplete() const;

    std::unique_ptr<Poco::Net::StreamSocket> m_socket;
    std::unique_ptr<http_parser> m_parser;
    // Received bytes that have not been parsed.
    std::string m_input;
    const bool m_hasBody;
    const request_delivery m_delivery;
    bool m_keepAlive = false;
};

} // namespace appleramp
