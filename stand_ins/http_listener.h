#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace Poco::Net {
class HTTPServerRequest;
class HTTPServerResponse;
} // namespace Poco::Net

namespace appleramp::stand_ins {

// An HTTP server on loopback that can vanish as a crashed process does and come back on the same port.
// The handler runs on one thread for each connection.
class http_listener {
public:
    using handler = std::function<void(Poco::Net::HTTPServerRequest&, Poco::Net::HTTPServerResponse&)>;

    explicit http_listener(handler onRequest);
    // Handlers must have been told to end.
    ~http_listener();
    http_listener(const http_listener&) = delete;
    http_listener& operator=(const http_listener&) = delete;

    // Port zero: one that the kernel chooses. A later open() takes the same port again.
    void open(std::uint16_t port = 0);
    // Refuses new connections and cuts the open ones. May be called by a handler.
    void close();

    std::uint16_t port() const { return m_port; }
    // Numeric host and port.
    std::string address() const;

private:
    struct server;

    const handler m_handler;
    std::mutex m_mutex;
    std::uint16_t m_port = 0;
    std::unique_ptr<server> m_server;
    // Closed servers, whose threads may still be ending.
    std::vector<std::unique_ptr<server>> m_closed;
};

} // namespace appleramp::stand_ins
