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

// One HTTP address of a process, served by a bounded number of threads.
class http_listener {
public:
    using handler_maker = std::function<Poco::Net::HTTPRequestHandler*()>;

    // A sender that is silent for longer than the timeout is cut off. Throws runtime_error if the address can't be bound.
    http_listener(const std::string& host, std::uint16_t port, int maxThreads, duration readTimeout,
        handler_maker makeHandler);
    ~http_listener();
    http_listener(const http_listener&) = delete;
    http_listener& operator=(const http_listener&) = delete;

    std::uint16_t port() const;
    // Takes no new connections and waits for the requests in hand.
    void stop();

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace appleramp
