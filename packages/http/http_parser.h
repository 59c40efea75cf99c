#pragma once

#include "http/http_message.h"
#include "model/response_defect.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace appleramp {

struct parser_limits {
    // Longest head. A chunk header with its extensions, and all trailers together, may each have as many bytes.
    std::uint32_t maxHeaderBytes = 65536;
    std::uint64_t maxBodyBytes = 64ULL * 1024 * 1024;
};

enum class parse_failure {
    None,
    Malformed,
    HeaderTooLarge,
    BodyTooLarge,
    // The connection ended before the message was complete.
    Truncated,
};

// Incremental, strict parser for one HTTP/1.1 message. Conflicting lengths, malformed chunks and bare line feeds are
// failures. Interim responses (1xx) before a response are skipped; together they may have as many bytes as one head.
class http_parser {
public:
    enum class message_kind {
        Request,
        Response,
    };

    http_parser(message_kind kind, parser_limits limits);
    ~http_parser();
    http_parser(const http_parser&) = delete;
    http_parser& operator=(const http_parser&) = delete;

    // Parses as many of the bytes as possible and returns how many were consumed. The caller passes the rest again with
    // further input; it is never more than maxHeaderBytes. Bytes after the end of the message are not consumed.
    std::size_t consume(std::string_view bytes);
    // Must be called when the peer has closed the connection in an orderly way: completes a body that ends at the close,
    // and fails as Truncated otherwise.
    void finishAtConnectionEnd();

    bool hasHead() const;
    // Bytes of the head, also once it was taken, and of the body that was not taken.
    std::size_t heldBytes() const;
    bool isComplete() const;
    parse_failure failure() const;
    // For a response: what is wrong with it, once it failed as Malformed, HeaderTooLarge or BodyTooLarge.
    response_defect defect() const;

    http_request_head takeRequestHead();
    http_response_head takeResponseHead();
    // Returns and removes the body bytes received since the last call.
    std::string takeBody();

private:
    class implementation;
    template <bool IsRequest>
    class typed_implementation;

    // Goes on with the head that follows an interim response.
    void skipInterimResponse();

    parser_limits m_limits;
    std::unique_ptr<implementation> m_implementation;
    int m_interimResponses = 0;
    // Consumed before the end of the response's own head.
    std::size_t m_interimBytes = 0;
};

} // namespace appleramp
