#pragma once

#include "http/http_message.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace appleramp {

struct parser_limits {
    std::uint32_t maxHeaderBytes = 65536;
    std::uint64_t maxBodyBytes = 64ULL * 1024 * 1024;
};

enum class parse_failure {
    None,
    Malformed,
    HeaderTooLarge,
    BodyTooLarge,
    // The connection ended inside the message.
    Truncated,
};

// Parses one message incrementally and strictly: conflicting lengths, bad chunks and bare line feeds are failures.
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

    // Takes what it can use of the bytes and returns how much that was. Bytes behind the message are left.
    std::size_t consume(std::string_view bytes);
    // The connection was closed by the peer in good order.
    void finishAtEnd();

    bool hasHead() const;
    bool isComplete() const;
    parse_failure failure() const;

    http_request_head takeRequestHead();
    http_response_head takeResponseHead();
    // Body bytes that came since the last call.
    std::string takeBody();

private:
    class implementation;
    template <bool IsRequest>
    class typed_implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace appleramp
