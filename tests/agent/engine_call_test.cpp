// An engine that stops in the middle of its answer closes the connection, in the head or in the framing of the body. No
// such answer may count as whole: its caller would get an empty or short answer that looks complete.
#include "agent/engine_call.h"
#include "fakes/early_answer_server.h"
#include "fakes/raw_answer_server.h"

#include <criterion/criterion.h>

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>

using namespace appleramp;
using namespace std::chrono_literals;

namespace {

using closing = raw_answer_server::closing;

struct recorded_call {
    std::optional<engine_head> head;
    std::string body;
    int endings = 0;
    int failures = 0;
};

recorded_call callEngine(std::uint16_t port, const std::string& method, std::string question = "question")
{
    recorded_call seen;
    call_engine effect { 1, {} };
    effect.request.method = method;
    effect.request.path = "/x";
    effect.request.body = std::move(question);
    effect.request.timeout = 5s;
    engine_call call("127.0.0.1", port, std::move(effect), [&seen](agent_event_body event) {
        if (const auto* head = std::get_if<engine_head>(&event))
            seen.head = *head;
        else if (const auto* data = std::get_if<engine_data>(&event))
            seen.body += data->data;
        else if (std::holds_alternative<engine_end>(event))
            ++seen.endings;
        else if (std::holds_alternative<engine_failed>(event))
            ++seen.failures;
    });
    call.run();
    return seen;
}

recorded_call callEngine(raw_answer_server& engine, const std::string& answer, closing closedBy)
{
    engine.answerWith(answer, closedBy);
    return callEngine(engine.port(), "POST");
}

// Cuts the answer before each of its bytes; `endOfCuts` is the first position that makes a whole answer.
void assertNoCutLooksWhole(const std::string& answer, std::size_t endOfCuts)
{
    raw_answer_server engine;
    const std::size_t headSize = answer.find("\r\n\r\n") + 4;
    for (const auto closedBy : { closing::Orderly, closing::Reset }) {
        for (std::size_t cut = 0; cut < endOfCuts; ++cut) {
            const recorded_call seen = callEngine(engine, answer.substr(0, cut), closedBy);
            cr_expect(seen.endings == 0 && seen.failures == 1, "taken as whole when cut at %zu of: %s", cut, answer.c_str());
            cr_expect(cut >= headSize || !seen.head, "a head when cut at %zu of: %s", cut, answer.c_str());
        }
    }
    const recorded_call whole = callEngine(engine, answer, closing::Orderly);
    cr_expect(whole.endings == 1 && whole.failures == 0 && whole.head, "%s", answer.c_str());
}

void assertNoCutLooksWhole(const std::string& answer) { assertNoCutLooksWhole(answer, answer.size()); }

std::size_t headSizeOf(const std::string& answer) { return answer.find("\r\n\r\n") + 4; }

} // namespace

Test(engine_call, an_answer_with_a_length_is_not_whole_when_it_is_cut)
{
    assertNoCutLooksWhole("HTTP/1.1 200 OK\r\nContent-Length: 05\r\nContent-Type: text/plain\r\n\r\nwhole");
    assertNoCutLooksWhole("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 05\r\n\r\nwhole");
    assertNoCutLooksWhole("HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nwhole");
    assertNoCutLooksWhole("HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n");
}

Test(engine_call, an_answer_in_chunks_is_not_whole_when_it_is_cut)
{
    assertNoCutLooksWhole("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n");
    assertNoCutLooksWhole(
        "HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n11\r\nseventeen letters\r\n0\r\n\r\n");
}

// Where the body ends with its connection, only the head shows a cut.
Test(engine_call, an_answer_that_ends_with_its_connection_needs_a_whole_head)
{
    const std::string announced = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Type: text/plain\r\n\r\nwhole";
    assertNoCutLooksWhole(announced, headSizeOf(announced));
    const std::string old = "HTTP/1.0 200 OK\r\nContent-Type: text/plain\r\n\r\nwhole";
    assertNoCutLooksWhole(old, headSizeOf(old));
}

// An engine of HTTP/1.1 announces that it closes; a connection that just ends is broken.
Test(engine_call, an_unannounced_end_of_the_connection_ends_no_answer)
{
    raw_answer_server engine;
    const recorded_call seen = callEngine(engine, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nwhole", closing::Orderly);
    cr_assert(seen.endings == 0 && seen.failures == 1);
}

Test(engine_call, an_interim_answer_is_not_the_answer)
{
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    raw_answer_server engine;
    const recorded_call seen
        = callEngine(engine, interim + "HTTP/1.1 201 Created\r\nContent-Length: 5\r\n\r\nwhole", closing::Orderly);
    cr_assert(seen.endings == 1 && seen.head && seen.head->status == 201 && seen.body == "whole");
    cr_assert_eq(callEngine(engine, interim, closing::Orderly).endings, 0);
}

// Guards against answers that are none and reach the caller as the engine's.
Test(engine_call, an_answer_that_is_none_is_a_failure)
{
    raw_answer_server engine;
    const std::string rest = "Connection: close\r\nContent-Length: 5\r\n\r\nwhole";
    const std::string chunks = "\r\n\r\n5\r\nwhole\r\n0\r\n\r\n";
    for (const std::string& answer : { "HTTP/1.1 000 OK\r\n" + rest, "HTTP/1.1 099 OK\r\n" + rest, "HTTP/1.1 600 OK\r\n" + rest, "HTTP/1.1 101 Upgrade\r\n" + rest,
             "HTTP/1.1 200 OK\r\nX A: b\r\n" + rest, "HTTP/1.1 200 OK\r\nX\x01: b\r\n" + rest, "HTTP/1.1 200 OK\r\nX : b\r\n" + rest, "HTTP/1.1 200 OK\r\nX: b\r\n c\r\n" + rest,
             "HTTP/1.1 200 OK\r\n X: b\r\n" + rest, "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked" + chunks, "HTTP/1.1 200 OK\r\nTransfer-Encoding: identity" + chunks }) {
        const recorded_call seen = callEngine(engine, answer, closing::Orderly);
        cr_expect(!seen.head && seen.endings == 0 && seen.failures == 1, "%s", answer.c_str());
    }
}

Test(engine_call, an_answer_to_head_has_no_body)
{
    raw_answer_server engine;
    engine.answerWith("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", closing::Orderly);
    const recorded_call seen = callEngine(engine.port(), "HEAD");
    cr_assert(seen.endings == 1 && seen.body.empty());
}

// Guards against an answer without a length that is reset while its request is still being written: the write gets the error of the
// connection, and what is read looks like its end.
Test(engine_call, an_early_answer_that_is_reset_is_not_whole)
{
    using ending = early_answer_server::ending;
    const std::string question(16UL * 1024 * 1024, 'q');
    const std::string unframed = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf";
    for (const ending endsBy : { ending::Reset, ending::ResetBehindEnd }) {
        for (int round = 0; round < 10; ++round) {
            const early_answer_server engine(unframed, endsBy);
            const recorded_call seen = callEngine(engine.port(), "POST", question);
            cr_assert(seen.endings == 0 && seen.failures == 1, "taken as whole: %s", seen.body.c_str());
        }
    }
    for (const ending endsBy : { ending::ReadsOn, ending::ReadsOnBehindEnd }) {
        const early_answer_server engine(unframed, endsBy);
        const recorded_call seen = callEngine(engine.port(), "POST", question);
        cr_assert(seen.endings == 1 && seen.failures == 0 && seen.body == "half");
    }
}
