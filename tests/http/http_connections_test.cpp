#include "http/client_pool.h"
#include "http/http_acceptor.h"
#include "http/memory_relief.h"
#include "http/shed_connection.h"
#include "memory/memory_account.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>

#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace appleramp;

namespace {

using tcp = boost::asio::ip::tcp;

// A server and a client pool on one io_context, which runs until a condition of the test holds.
class server_and_pool {
public:
    // With a limit of memory, connections that give way get a refusal with 503.
    explicit server_and_pool(server_connection::handler onRequest, std::size_t maxConnections = std::numeric_limits<std::size_t>::max(), std::size_t memoryBytes = 0)
        : m_account(std::make_shared<memory_account>(memoryBytes))
        , m_relief(m_loop, m_account, [this](const shed_connection& shed) { return refuse(shed); })
        , m_acceptor(
              m_loop, "127.0.0.1", 0, [] { return server_limits {}; }, std::move(onRequest), { maxConnections, memoryBytes > 0 ? &m_relief : nullptr })
        , m_pool(m_loop, {})
    {
    }

    const memory_account& account() const { return *m_account; }
    const std::vector<std::string>& shedCauses() const { return m_shedCauses; }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_acceptor.port()); }
    boost::asio::io_context& loop() { return m_loop; }
    client_pool& pool() { return m_pool; }
    http_acceptor& acceptor() { return m_acceptor; }

    void runUntil(const std::function<bool()>& done)
    {
        while (!done())
            cr_assert_gt(m_loop.run_one_for(std::chrono::seconds(10)), 0, "no event within 10 s before the expected condition");
    }

    // Sends raw bytes and returns everything that the server sends until it closes the connection.
    std::string sendRaw(const std::string& bytes)
    {
        tcp::socket socket(m_loop);
        std::string answer;
        bool closed = false;
        socket.async_connect(endpointFromText(address()), [&](const auto&) {
            boost::asio::async_write(socket, boost::asio::buffer(bytes), [&](const auto&, std::size_t) {
                boost::asio::async_read(socket, boost::asio::dynamic_buffer(answer), [&](const auto&, std::size_t) { closed = true; });
            });
        });
        runUntil([&] { return closed; });
        return answer;
    }

private:
    http_response refuse(const shed_connection& shed)
    {
        m_shedCauses.emplace_back(shed.cause);
        http_response refusal;
        refusal.head.status = 503;
        return refusal;
    }

    boost::asio::io_context m_loop;
    std::vector<std::string> m_shedCauses;
    std::shared_ptr<memory_account> m_account;
    memory_relief m_relief;
    http_acceptor m_acceptor;
    client_pool m_pool;
};

struct recorded_exchange {
    std::optional<http_response_head> head;
    std::string body;
    bool completed = false;
    std::optional<exchange_failure> failure;

    bool isOver() const { return completed || failure; }

    exchange_handlers handlers()
    {
        return { .head = [this](http_response_head received) { head = std::move(received); },
            .body = [this](const std::string& bytes) { body += bytes; },
            .completed = [this] { completed = true; },
            .failed = [this](exchange_failure reason) { failure = reason; } };
    }
};

const std::string getRequest = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";

http_response answer(std::string body)
{
    http_response response;
    response.head.status = 200;
    response.body = std::move(body);
    return response;
}

} // namespace

Test(http_connections, a_kept_connection_serves_one_request_after_the_other)
{
    server_and_pool server([](const auto& connection, const http_request& request) { connection->respond(answer(request.head.target)); });
    const auto connection = server.pool().acquire(server.address(), false);
    for (int round = 0; round < 3; ++round) {
        recorded_exchange seen;
        connection->exchange(getRequest, seen.handlers());
        server.runUntil([&] { return seen.isOver(); });
        cr_assert(seen.completed);
        cr_assert_eq(seen.body, "/x");
        cr_assert(connection->isReusable());
    }
    server.pool().release(connection);
    cr_assert_eq(server.pool().acquire(server.address(), false).get(), connection.get());
}

Test(http_connections, a_stream_comes_in_pieces_and_ends_whole)
{
    server_and_pool server([](const auto& connection, const http_request&) {
        connection->beginStream(answer({}).head);
        connection->writeStream("one");
        connection->writeStream("two");
        connection->finishStream();
    });
    recorded_exchange seen;
    const auto connection = server.pool().acquire(server.address(), false);
    connection->exchange(getRequest, seen.handlers());
    server.runUntil([&] { return seen.isOver(); });
    cr_assert(seen.completed);
    cr_assert_eq(seen.body, "onetwo");
}

Test(http_connections, a_stream_that_is_broken_off_does_not_look_whole)
{
    server_and_pool server([](const auto& connection, const http_request&) {
        connection->beginStream(answer({}).head);
        connection->writeStream("one");
        boost::asio::post(connection->executor(), [connection] { connection->abort(); });
    });
    recorded_exchange seen;
    const auto connection = server.pool().acquire(server.address(), false);
    connection->exchange(getRequest, seen.handlers());
    server.runUntil([&] { return seen.isOver(); });
    cr_assert(seen.failure.has_value());
}

Test(http_connections, pipelined_requests_are_answered_in_order)
{
    std::vector<std::string> targets;
    server_and_pool server([&](const auto& connection, const http_request& request) {
        targets.push_back(request.head.target);
        connection->respond(answer(request.head.target));
    });
    const std::string seen = server.sendRaw("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    cr_assert(targets == (std::vector<std::string> { "/1", "/2" }));
    cr_assert_lt(seen.find("/1"), seen.find("/2"));
}

Test(http_connections, a_malformed_request_is_refused_and_the_connection_closed)
{
    server_and_pool server([](const auto&, const http_request&) { cr_assert(false, "a malformed request was passed to the handler"); });
    cr_assert(server.sendRaw("GET / HTTP/1.1\nHost: h\n\n").starts_with("HTTP/1.1 400 "));
}

Test(http_connections, a_draining_server_closes_after_the_answer)
{
    server_and_pool server([](const auto& connection, const http_request&) { connection->respond(answer("done")); });
    server.acceptor().beginDrain();
    const std::string seen = server.sendRaw(getRequest);
    cr_assert_neq(seen.find("Connection: close"), std::string::npos);
    cr_assert(seen.ends_with("done"));
}

Test(http_connections, the_handler_learns_that_its_caller_left)
{
    bool peerGoneReported = false;
    std::shared_ptr<server_connection> receivedConnection;
    server_and_pool server([&](const auto& connection, const http_request&) {
        receivedConnection = connection;
        connection->onPeerGone([&] { peerGoneReported = true; });
    });
    recorded_exchange seen;
    const auto connection = server.pool().acquire(server.address(), false);
    connection->exchange(getRequest, seen.handlers());
    server.runUntil([&] { return receivedConnection != nullptr; });
    connection->cancel();
    server.runUntil([&] { return peerGoneReported; });
}

Test(http_connections, a_refused_connection_is_no_sent_request)
{
    server_and_pool server([](const auto&, const http_request&) {});
    const std::string address = server.address();
    server.acceptor().close();
    recorded_exchange seen;
    server.pool().acquire(address, false)->exchange(getRequest, seen.handlers());
    server.runUntil([&] { return seen.isOver(); });
    cr_assert(seen.failure == exchange_failure::ConnectRefused);
}

// A server sends two responses to one request. If the connection were reused, the second response would be taken for the
// response to the next request.
Test(http_connections, bytes_behind_an_answer_end_the_connection)
{
    boost::asio::io_context loop;
    tcp::acceptor acceptor(loop, { boost::asio::ip::address_v4::loopback(), 0 });
    tcp::socket peer(loop);
    const std::string doubled = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\naHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nb";
    acceptor.async_accept(peer, [&](const auto&) { boost::asio::async_write(peer, boost::asio::buffer(doubled), [](const auto&, std::size_t) {}); });
    client_pool pool(loop, {});
    recorded_exchange seen;
    const auto connection = pool.acquire("127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()), false);
    connection->exchange(getRequest, seen.handlers());
    while (!seen.isOver())
        loop.run_one();
    cr_assert_eq(seen.body, "a");
    cr_assert(!connection->isReusable());
}

namespace {

// A raw connection that sends something and keeps what it gets.
class raw_caller {
public:
    raw_caller(server_and_pool& server, std::string bytes)
        : m_socket(server.loop())
        , m_bytes(std::move(bytes))
    {
        m_socket.async_connect(endpointFromText(server.address()), [this](const auto&) {
            boost::asio::async_write(m_socket, boost::asio::buffer(m_bytes), [this](const auto&, std::size_t) { isSent = true; });
            boost::asio::async_read(m_socket, boost::asio::dynamic_buffer(answer), [this](const auto&, std::size_t) { isClosed = true; });
        });
    }

    std::string answer;
    bool isSent = false;
    bool isClosed = false;

private:
    tcp::socket m_socket;
    std::string m_bytes;
};

const std::string halfRequest = "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n" + std::string(900'000, 'b');

} // namespace

// Guards against bodies short of their end that fill the memory: the one that has held most for longest is refused, and frees its bytes.
Test(http_connections, what_is_held_longest_gives_way_when_memory_is_short)
{
    constexpr std::size_t limit = 2UL * 1024 * 1024;
    server_and_pool server([](const auto& connection, const http_request& request) { connection->respond(answer(request.body)); }, 10, limit);
    raw_caller first(server, halfRequest);
    server.runUntil([&] { return server.account().heldBytes() >= 900'000; });
    raw_caller second(server, halfRequest);
    server.runUntil([&] { return first.isClosed; });
    cr_assert(first.answer.starts_with("HTTP/1.1 503 "), "%s", first.answer.c_str());
    cr_assert(server.shedCauses() == std::vector<std::string> { "memory" });
    server.runUntil([&] { return second.isSent; });
    cr_assert(!second.isClosed);
    cr_assert_leq(server.account().heldBytes(), limit);
    cr_assert(server.sendRaw("GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n").starts_with("HTTP/1.1 200 "));
}

// Guards against idle connections that keep sound callers out.
Test(http_connections, the_quietest_connection_gives_way_to_a_new_one)
{
    server_and_pool server([](const auto& connection, const http_request&) { connection->respond(answer("x")); }, 2);
    raw_caller idle(server, "");
    server.runUntil([&] { return idle.isSent; });
    raw_caller later(server, "");
    server.runUntil([&] { return later.isSent; });
    cr_assert(server.sendRaw("GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n").starts_with("HTTP/1.1 200 "));
    cr_assert(idle.isClosed);
    cr_assert(!later.isClosed);
}

// Guards against requests in progress that lose their connection to new ones.
Test(http_connections, a_request_in_progress_keeps_its_connection)
{
    std::shared_ptr<server_connection> waiting;
    server_and_pool server([&](const auto& connection, const http_request&) { waiting = connection; }, 1);
    raw_caller caller(server, "GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    server.runUntil([&] { return waiting != nullptr; });
    raw_caller refused(server, getRequest);
    server.runUntil([&] { return refused.isClosed; });
    cr_assert(refused.answer.empty());
    waiting->respond(answer("late"));
    server.runUntil([&] { return caller.isClosed; });
    cr_assert(caller.answer.ends_with("late"));
}
