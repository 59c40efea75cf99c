#include "directagent/engine_link.h"

#include <utility>

namespace appleramp {

namespace {

constexpr pool_settings enginePool { .connectTimeout = std::chrono::milliseconds(500),
    .silenceLimit = std::chrono::milliseconds(2000),
    .reuseWithin = std::chrono::milliseconds(3000),
    .maxIdlePerServer = 2 };

// An engine in trouble may send bytes without end.
constexpr std::size_t maxAnswerBytes = 4UL * 1024 * 1024;

} // namespace

engine_link::engine_link(boost::asio::io_context& loop, std::string address)
    : m_pool(loop, enginePool)
    , m_timeout(loop)
    , m_address(std::move(address))
{
}

void engine_link::exchange(const http_request& request, std::chrono::milliseconds timeout, handler done)
{
    m_done = std::move(done);
    m_answer = {};
    m_wasRefused = false;
    m_connection = m_pool.acquire(m_address, false);
    m_timeout.expires_after(timeout);
    m_timeout.async_wait([this](const boost::system::error_code& cancelled) {
        if (cancelled || !m_connection)
            return;
        m_connection->cancel();
        finish(std::nullopt);
    });
    m_connection->exchange(serializeRequest(request.head, request.body),
        { .head = [this](http_response_head head) { m_answer.head = std::move(head); },
            .body =
                [this](const std::string& bytes) {
                    m_answer.body += bytes;
                    if (m_answer.body.size() <= maxAnswerBytes)
                        return;
                    m_connection->cancel();
                    finish(std::nullopt);
                },
            .completed =
                [this] {
                    m_pool.release(m_connection);
                    finish(std::move(m_answer));
                },
            .failed =
                [this](exchange_failure failure) {
                    m_wasRefused = failure == exchange_failure::ConnectRefused;
                    finish(std::nullopt);
                } });
}

void engine_link::finish(std::optional<http_response> answer)
{
    m_connection.reset();
    m_timeout.cancel();
    if (handler done = std::exchange(m_done, nullptr))
        done(std::move(answer));
}

} // namespace appleramp
