#include "http/dropped_output.h"
#include "http/http_acceptor.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

using namespace appleramp;
using namespace std::chrono_literals;

namespace {

using tcp = boost::asio::ip::tcp;

constexpr std::size_t answerBytes = 7'900'000;
constexpr int receiveBuffer = 16 * 1024;
constexpr auto idleTimeout = 1s;
const std::string getRequest = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";

// A server with large answers, and a caller that sends its requests at once and reads pieces of the answers with pauses.
class slow_reader {
public:
    slow_reader(std::chrono::milliseconds pause, std::size_t pieceBytes, std::size_t requests = 1, std::chrono::milliseconds idleAfter = idleTimeout,
        std::chrono::milliseconds firstPause = {})
        : m_acceptor(
            m_loop, "127.0.0.1", 0, [idleAfter] { return server_limits { .idleTimeout = idleAfter }; },
            [](const auto& connection, const http_request&) {
                http_response response;
                response.head.status = 200;
                response.body = std::string(answerBytes, 'x');
                connection->identifyAnswer("a1");
                connection->respond(std::move(response));
            })
        , m_socket(m_loop)
        , m_timer(m_loop)
        , m_pause(pause)
        , m_nextPause(std::max(pause, firstPause))
        , m_piece(pieceBytes)
        , m_expected(requests * answerBytes)
    {
        for (std::size_t sent = 0; sent < requests; ++sent)
            m_requests += getRequest;
        m_acceptor.onOutputDropped([this](const dropped_output& dropped) { m_dropped = dropped; });
        m_socket.open(tcp::v4());
        m_socket.set_option(tcp::socket::receive_buffer_size(receiveBuffer));
        m_socket.async_connect({ boost::asio::ip::address_v4::loopback(), m_acceptor.port() }, [this](const auto&) {
            boost::asio::async_write(m_socket, boost::asio::buffer(m_requests), [this](const auto&, std::size_t) { this->pause(); });
        });
        while (!m_isOver && !m_dropped)
            cr_assert_gt(m_loop.run_one_for(20s), 0, "no event within 20 s");
    }

    std::size_t received() const { return m_received; }
    const std::optional<dropped_output>& dropped() const { return m_dropped; }

private:
    void pause()
    {
        m_timer.expires_after(std::exchange(m_nextPause, m_pause));
        m_timer.async_wait([this](const auto&) { this->read(); });
    }

    // Takes what is there, up to the size of a piece.
    void read()
    {
        boost::system::error_code failure;
        m_socket.non_blocking(true);
        for (std::size_t taken = 0; taken < m_piece.size() && !failure;) {
            const std::size_t count = m_socket.read_some(boost::asio::buffer(m_piece.data(), m_piece.size() - taken), failure);
            taken += count;
            m_received += count;
        }
        m_isOver = m_received >= m_expected || (failure && failure != boost::asio::error::would_block);
        if (!m_isOver)
            pause();
    }

    boost::asio::io_context m_loop;
    http_acceptor m_acceptor;
    tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    std::chrono::milliseconds m_pause;
    std::chrono::milliseconds m_nextPause;
    std::vector<char> m_piece;
    std::size_t m_expected;
    std::string m_requests;
    std::size_t m_received = 0;
    std::optional<dropped_output> m_dropped;
    bool m_isOver = false;
};

} // namespace

// Guards against a connection that counts as idle, and is closed, while its caller still reads the answer.
Test(slow_reader, gets_the_whole_answer_though_it_takes_longer_than_the_idle_timeout)
{
    const slow_reader reader(60ms, 128UL * 1024);
    cr_assert_geq(reader.received(), answerBytes, "only %zu bytes came", reader.received());
    cr_assert(!reader.dropped());
}

// Guards against output that is kept for a caller that reads nothing at all.
Test(slow_reader, that_reads_nothing_for_the_idle_timeout_loses_the_answer)
{
    const slow_reader reader(4s, 1024);
    cr_assert(reader.dropped().has_value());
    cr_assert(reader.dropped()->cause == output_loss::Idle);
    cr_assert_eq(reader.dropped()->answerId, "a1");
}

// Guards against a request that runs while its caller has no room for the answer, which is then dropped with the connection.
Test(slow_reader, that_sends_on_without_waiting_gets_all_answers)
{
    const slow_reader reader(20ms, 512UL * 1024, 3);
    cr_assert_geq(reader.received(), 3 * answerBytes, "only %zu bytes came", reader.received());
    cr_assert(!reader.dropped());
}

// Guards against a kernel that takes a caller which pauses, and acknowledges all the while, for a dead one, long before the idle timeout.
Test(pausing_reader, gets_the_whole_answer_after_a_pause_within_the_idle_timeout)
{
    const slow_reader reader(10ms, 8UL * 1024 * 1024, 1, 30s, 11s);
    cr_assert(!reader.dropped(), "dropped as %s", reader.dropped() ? std::string(nameOf(reader.dropped()->cause)).c_str() : "");
    cr_assert_geq(reader.received(), answerBytes, "only %zu bytes came", reader.received());
}

// Guards against a connection that is dropped with output unsent and stays in memory, with all of it, until the idle timeout.
Test(slow_reader, that_loses_its_connection_frees_the_answer)
{
    boost::asio::io_context loop;
    std::weak_ptr<server_connection> dropped;
    http_acceptor acceptor(
        loop, "127.0.0.1", 0, [] { return server_limits { .idleTimeout = 1h }; },
        [&](const auto& connection, const http_request&) {
            dropped = connection;
            http_response response;
            response.body = std::string(answerBytes, 'x');
            connection->respond(std::move(response));
        });
    tcp::socket caller(loop);
    caller.open(tcp::v4());
    caller.set_option(tcp::socket::receive_buffer_size(receiveBuffer));
    caller.async_connect({ boost::asio::ip::address_v4::loopback(), acceptor.port() }, [&](const auto&) { boost::asio::write(caller, boost::asio::buffer(getRequest)); });
    while (dropped.expired())
        cr_assert_gt(loop.run_one_for(10s), 0);
    dropped.lock()->abort();
    while (!dropped.expired())
        cr_assert_gt(loop.run_one_for(10s), 0, "the connection is kept");
}
