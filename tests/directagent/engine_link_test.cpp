#include "directagent/engine_link.h"

#include "fakes/raw_answer_server.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>

#include <memory>
#include <optional>
#include <string>
#include <utility>

using namespace appleramp;
using tcp = boost::asio::ip::tcp;

namespace {

constexpr std::size_t pieceBytes = 64UL * 1024;
// What an agent may read of an answer, with what the sockets buffer.
constexpr std::size_t maxSentBytes = 24UL * 1024 * 1024;
constexpr std::chrono::milliseconds longTimeout { 20'000 };

// An engine that answers with a head and a body without end.
class endless_engine {
public:
    explicit endless_engine(boost::asio::io_context& loop)
        : m_acceptor(loop, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
        , m_socket(loop)
    {
        m_acceptor.async_accept(m_socket, [this](const auto&) { send("HTTP/1.1 200 OK\r\n\r\n"); });
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()); }
    std::size_t sentBytes() const { return m_sentBytes; }

private:
    void send(std::string piece)
    {
        m_piece = std::move(piece);
        boost::asio::async_write(m_socket, boost::asio::buffer(m_piece), [this](const auto& failure, std::size_t count) {
            m_sentBytes += count;
            if (!failure)
                send(std::string(pieceBytes, 'x'));
        });
    }

    tcp::acceptor m_acceptor;
    tcp::socket m_socket;
    std::string m_piece;
    std::size_t m_sentBytes = 0;
};

http_request reportRequest(const std::string& address)
{
    http_request request;
    request.head.method = "GET";
    request.head.target = "/report";
    request.head.headers.add("Host", address);
    return request;
}

// The engine's answer; nothing if the link gave it up.
std::optional<http_response> askForReport(boost::asio::io_context& loop, engine_link& link)
{
    bool isDone = false;
    std::optional<http_response> answer;
    link.exchange(reportRequest(link.address()), longTimeout, [&](const auto& received) {
        answer = received;
        isDone = true;
    });
    while (!isDone)
        cr_assert_gt(loop.run_one_for(longTimeout), 0);
    return answer;
}

} // namespace

// Guards against an engine in trouble that fills its agent's memory with a report without end.
Test(engine_link, a_report_without_end_is_given_up)
{
    boost::asio::io_context loop;
    endless_engine engine(loop);
    engine_link link(loop, engine.address());
    const auto answer = askForReport(loop, link);
    cr_assert_not(answer.has_value());
    cr_assert_leq(engine.sentBytes(), maxSentBytes);
}

// Guards against taking a silent engine for one that has ended.
Test(engine_link, only_a_refused_connection_shows_that_the_engine_ended)
{
    boost::asio::io_context loop;
    tcp::acceptor acceptor(loop, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    const std::string address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    engine_link link(loop, address);
    bool isDone = false;
    const auto exchange = [&](std::chrono::milliseconds timeout) {
        isDone = false;
        link.exchange(reportRequest(address), timeout, [&](const auto&) { isDone = true; });
        while (!isDone)
            cr_assert_gt(loop.run_one_for(longTimeout), 0);
    };
    exchange(std::chrono::milliseconds(50));
    cr_assert_not(link.wasRefused());
    acceptor.close();
    exchange(longTimeout);
    cr_assert(link.wasRefused());
}

// Guards against reports that are read from what is no answer.
Test(engine_link, an_answer_that_is_none_is_no_report)
{
    boost::asio::io_context loop;
    raw_answer_server engine;
    const std::string rest = "Content-Length: 5\r\n\r\nwhole";
    const std::pair<std::string, bool> answers[] { { "HTTP/1.1 200 OK\r\n" + rest, true }, { "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n" + rest, true },
        { "HTTP/1.1 000 OK\r\n" + rest, false }, { "HTTP/1.1 103 Early Hints\r\n" + rest, false }, { "HTTP/1.1 200 OK\r\nX A: b\r\n" + rest, false },
        { "HTTP/1.1 200 OK\r\nX-A: b\r\n c\r\n" + rest, false }, { "HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n\r\nwhole", false } };
    for (const auto& [text, isAnswer] : answers) {
        engine.answerWith(text, raw_answer_server::closing::Orderly);
        engine_link link(loop, engine.address());
        const auto answer = askForReport(loop, link);
        cr_assert_eq(answer.has_value(), isAnswer, "%s", text.c_str());
        cr_assert(!isAnswer || (answer->head.status == 200 && answer->body == "whole"));
    }
}
