#pragma once

#include "model/time.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace Poco::Net {
class HTTPRequestHandler;
}

namespace appleramp {

// HTTP server on one address of a process, with a bounded thread pool.
class http_listener {
public:
    using handler_maker = std::function<Poco::Net::HTTPRequestHandler*()>;

    // Starts to serve at once. Closes a connection whose client sends nothing for longer than readTimeout.
    // Throws runtime_error if the address cannot be bound.
    http_listener(const std::string& host, std::uint16_t port, int maxThreads, duration readTimeout,
        handler_maker makeHandler);
    ~http_listener();
    http_listener(const http_listener&) = delete;
    http_listener& operator=(const http_listener&) = delete;

    std::uint16_t port() const;
    // Stops accepting connections and waits for the requests in progress.
    void stop();

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace appleramp
