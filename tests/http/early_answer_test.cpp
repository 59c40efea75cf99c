// Servers that answer a long request before they have read it. The kernel hands a reset out once, to a read or to a write: if the write of
// the request gets it, the read sees an orderly end of the connection, and an answer that ends with its connection looks whole.
#include "fakes/early_answer_server.h"
#include "http/client_pool.h"

#include <boost/asio/io_context.hpp>
#include <criterion/criterion.h>

#include <memory>
#include <optional>
#include <string>

using namespace appleramp;

namespace {

using ending = early_answer_server::ending;

constexpr std::size_t requestBytes = 16UL * 1024 * 1024;
const std::string unframed = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nanswer";
const std::string withLength = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 6\r\n\r\nanswer";
const std::string inChunks = "HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nanswer\r\n0\r\n\r\n";

struct seen_answer {
    std::string body;
    bool isComplete = false;
    std::optional<exchange_failure> failure;
};

seen_answer askWithLongRequest(const std::string& answer, ending endsBy, pool_settings settings = {})
{
    const early_answer_server server(answer, endsBy);
    boost::asio::io_context loop;
    client_pool pool(loop, settings);
    seen_answer seen;
    const auto connection = pool.acquire("127.0.0.1:" + std::to_string(server.port()), true);
    const auto body = std::make_shared<const std::string>(requestBytes, 'b');
    connection->exchange("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(requestBytes) + "\r\n\r\n", body,
        { .head = {},
            .body = [&seen](const std::string& bytes) { seen.body += bytes; },
            .completed = [&seen] { seen.isComplete = true; },
            .failed = [&seen](exchange_failure reason) { seen.failure = reason; } });
    while (!seen.isComplete && !seen.failure)
        cr_assert_gt(loop.run_one_for(std::chrono::seconds(10)), 0, "no event within 10 s");
    cr_assert(!connection->isReusable());
    return seen;
}

} // namespace

Test(early_answer, without_a_length_that_is_reset_is_not_whole)
{
    for (const ending endsBy : { ending::Reset, ending::ResetBehindEnd }) {
        for (int round = 0; round < 10; ++round) {
            const seen_answer seen = askWithLongRequest(unframed, endsBy);
            cr_assert(!seen.isComplete, "taken as whole: %s", seen.body.c_str());
            cr_assert(seen.failure == exchange_failure::ClosedInAnswer || seen.failure == exchange_failure::ClosedBeforeAnswer);
        }
    }
}

// Guards against a remedy that loses the answers of sound servers.
Test(early_answer, of_a_server_that_reads_on_is_whole)
{
    for (const std::string& answer : { unframed, withLength, inChunks }) {
        for (const ending endsBy : { ending::ReadsOn, ending::ReadsOnBehindEnd }) {
            const seen_answer seen = askWithLongRequest(answer, endsBy);
            cr_assert(seen.isComplete, "%s", answer.c_str());
            cr_assert_eq(seen.body, "answer");
        }
    }
}

// Guards against the kernel's limit for unacknowledged bytes, which counts a server that pauses while its window is full as one that is gone.
Test(early_answer, of_a_server_that_pauses_is_whole)
{
    constexpr std::chrono::milliseconds silenceLimit { 200 };
    static_assert(silenceLimit * 4 < early_answer_server::latePause);
    for (const std::string& answer : { unframed, withLength }) {
        const seen_answer seen = askWithLongRequest(answer, ending::ReadsOnLate, { .silenceLimit = silenceLimit });
        cr_assert(seen.isComplete, "%s", answer.c_str());
        cr_assert_eq(seen.body, "answer");
    }
}

// What is framed shows its own end: a part of it is never whole, whatever became of the request.
Test(early_answer, that_is_framed_is_whole_by_its_framing_only)
{
    for (const ending endsBy : { ending::ReadsOn, ending::ReadsOnBehindEnd, ending::Reset, ending::ResetBehindEnd }) {
        for (const std::string& answer : { withLength, inChunks }) {
            const seen_answer seen = askWithLongRequest(answer.substr(0, answer.size() - 2), endsBy);
            cr_assert(!seen.isComplete && seen.failure, "%s", answer.c_str());
        }
    }
}
