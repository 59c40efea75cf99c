#pragma once

#include "http/client_pool.h"
#include "http/http_message.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace appleramp {

constexpr std::chrono::milliseconds engineReadTimeout { 500 };
// Engines may leave an order unanswered; the next report shows whether it was executed.
constexpr std::chrono::milliseconds engineOrderTimeout { 40 };

// HTTP client of one engine: one exchange at a time, each with a timeout.
class engine_link {
public:
    // Gets the response, or none if no complete one came in time.
    using handler = std::function<void(std::optional<http_response>)>;

    engine_link(boost::asio::io_context& loop, std::string address);

    void exchange(const http_request& request, std::chrono::milliseconds timeout, handler done);
    bool isBusy() const { return m_done != nullptr; }
    const std::string& address() const { return m_address; }
    // True if nothing listened at the engine's address in the last exchange.
    bool wasRefused() const { return m_wasRefused; }

private:
    void finish(std::optional<http_response> answer);

    client_pool m_pool;
    boost::asio::steady_timer m_timeout;
    std::string m_address;
    std::shared_ptr<client_connection> m_connection;
    http_response m_answer;
    bool m_wasRefused = false;
    handler m_done;
};

} // namespace appleramp
