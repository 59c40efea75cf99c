#pragma once

#include "model/time.h"

#include <memory>
#include <string>
#include <string_view>

namespace appleramp {

enum class exchange_outcome {
    // The connection could not be established, so the server received nothing.
    NotConnected,
    // The request may have been sent, wholly or in part, but no complete response was received.
    ReplyLost,
    // A complete response was received, whatever its status.
    Answered,
};

struct http_answer {
    exchange_outcome outcome = exchange_outcome::NotConnected;
    int status = 0;
    std::string body;
};

// Synchronous HTTP client with one persistent connection. For a failed request it reports whether the server may have
// received it. It never sends a request twice. Not thread-safe.
class http_exchange {
public:
    // The address is a numeric host and a port, such as "127.0.0.1:8080". Throws platform_error if it is not.
    http_exchange(const std::string& address, duration connectTimeout, duration replyTimeout);
    ~http_exchange();
    http_exchange(const http_exchange&) = delete;
    http_exchange& operator=(const http_exchange&) = delete;

    // Sends one request and waits for its response. Network failures are reported in the outcome.
    http_answer send(const std::string& method, const std::string& target, std::string_view body = {},
        const std::string& contentType = "application/json");

private:
    struct connection;

    bool connect();
    http_answer transfer(
        const std::string& method, const std::string& target, std::string_view body, const std::string& contentType);

    std::unique_ptr<connection> m_connection;
};

} // namespace appleramp
