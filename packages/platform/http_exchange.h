#pragma once

#include "model/time.h"

#include <memory>
#include <string>
#include <string_view>

namespace appleramp {

enum class exchange_outcome {
    // No connection came to be, so the server received nothing.
    NotConnected,
    // Something may have been sent, but no whole answer came.
    ReplyLost,
    Answered,
};

struct http_answer {
    exchange_outcome outcome = exchange_outcome::NotConnected;
    int status = 0;
    std::string body;
};

// Sends HTTP requests over one kept connection and tells apart whether a failed one can have reached the server.
// It never sends a request twice. Used by one thread at a time.
class http_exchange {
public:
    // The address is a numeric host and a port, such as "127.0.0.1:8080".
    http_exchange(const std::string& address, duration connectTimeout, duration replyTimeout);
    ~http_exchange();
    http_exchange(const http_exchange&) = delete;
    http_exchange& operator=(const http_exchange&) = delete;

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
