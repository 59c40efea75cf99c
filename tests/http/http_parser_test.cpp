#include "http/http_parser.h"

#include <criterion/criterion.h>

#include <random>
#include <string>
#include <string_view>

using namespace appleramp;

namespace {

using kind = http_parser::message_kind;

// Passes the text to the parser in pieces of the given size and returns the parser's failure.
parse_failure feedInPieces(http_parser& parser, std::string text, std::size_t pieceSize)
{
    std::string pending;
    while (!text.empty() && !parser.isComplete() && parser.failure() == parse_failure::None) {
        pending += text.substr(0, pieceSize);
        text.erase(0, pieceSize);
        pending.erase(0, parser.consume(pending));
    }
    return parser.failure();
}

// True if the parser rejects the text for every way to split it into pieces of equal size.
bool isRefused(const std::string& text)
{
    for (std::size_t pieceSize = 1; pieceSize <= text.size(); ++pieceSize) {
        http_parser parser(kind::Request, {});
        feedInPieces(parser, text, pieceSize);
        parser.finishAtConnectionEnd();
        if (parser.isComplete() || parser.failure() == parse_failure::None)
            return false;
    }
    return true;
}

} // namespace

Test(http_parser, a_request_is_read_in_any_pieces)
{
    const std::string text = "POST /a?b=1 HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
    for (std::size_t pieceSize = 1; pieceSize <= text.size(); ++pieceSize) {
        http_parser parser(kind::Request, {});
        cr_assert(feedInPieces(parser, text, pieceSize) == parse_failure::None);
        cr_assert(parser.isComplete());
        const auto head = parser.takeRequestHead();
        cr_assert_eq(head.method, "POST");
        cr_assert_eq(head.path(), "/a");
        cr_assert_eq(parser.takeBody(), "abcde");
    }
}

Test(http_parser, what_follows_a_message_is_left)
{
    http_parser parser(kind::Request, {});
    const std::string first = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
    cr_assert_eq(parser.consume(first + "GET /second HTTP/1.1\r\n\r\n"), first.size());
    cr_assert(parser.isComplete());
}

// Request smuggling: if two HTTP implementations disagree on where a message ends, bytes of its body can be taken for a
// further request.
Test(http_parser, ambiguous_messages_are_refused)
{
    const std::string start = "POST / HTTP/1.1\r\nHost: x\r\n";
    cr_assert(isRefused(start + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd"));
    cr_assert(isRefused(start + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"));
    cr_assert(isRefused(start + "Content-Length: -1\r\n\r\n"));
    cr_assert(isRefused(start + "Transfer-Encoding: chunked\r\n\r\nzz\r\n"));
    cr_assert(isRefused("GET / HTTP/1.1\nHost: x\n\n"));
    cr_assert(isRefused("GET /\r\n\r\n"));
    cr_assert(isRefused(start + "Bad Name: 1\r\n\r\n"));
}

Test(http_parser, limits_hold)
{
    http_parser headerLimited(kind::Request, { .maxHeaderBytes = 64, .maxBodyBytes = 4 });
    cr_assert(feedInPieces(headerLimited, "GET / HTTP/1.1\r\nA: " + std::string(200, 'a') + "\r\n\r\n", 1000) == parse_failure::HeaderTooLarge);
    http_parser bodyLimited(kind::Request, { .maxHeaderBytes = 640, .maxBodyBytes = 4 });
    cr_assert(feedInPieces(bodyLimited, "POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nabcde", 1000) == parse_failure::BodyTooLarge);
}

// Guards against a chunk extension, or trailers, without end: the parser looks for their end in all that came, which its caller keeps.
Test(http_parser, what_comes_between_chunks_and_behind_them_is_limited)
{
    constexpr parser_limits limits { .maxHeaderBytes = 1024 };
    const std::string framing = "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n";
    for (const std::string_view begin : { "2;x=", "0;x=", "0\r\nX: ", "0\r\nX: y\r\nZ: " }) {
        std::string endless = framing;
        endless.append(begin).append(4096, 'e');
        for (const std::size_t pieceSize : { 1, 100, 4096 }) {
            http_parser request(kind::Request, limits);
            cr_assert(feedInPieces(request, "POST / HTTP/1.1\r\n" + endless, pieceSize) == parse_failure::HeaderTooLarge);
            http_parser response(kind::Response, limits);
            cr_assert(feedInPieces(response, "HTTP/1.1 200 OK\r\n" + endless, pieceSize) == parse_failure::HeaderTooLarge);
        }
    }
    http_parser sound(kind::Request, limits);
    std::string whole = "POST / HTTP/1.1\r\n" + framing;
    whole.append("0;x=").append(900, 'e').append("\r\n\r\n");
    cr_assert(feedInPieces(sound, whole, 1) == parse_failure::None);
    cr_assert(sound.isComplete());
}

// Guards against trailers that become headers: which of them did depended on how the message was cut into reads.
Test(http_parser, trailers_are_no_headers)
{
    const std::string text = "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nAuthorization: Token k\r\nX-Attempt-Id: 1\r\n\r\n";
    for (std::size_t pieceSize = 1; pieceSize <= text.size(); ++pieceSize) {
        http_parser parser(kind::Request, {});
        cr_assert(feedInPieces(parser, text, pieceSize) == parse_failure::None);
        cr_assert(parser.isComplete());
        const auto head = parser.takeRequestHead();
        cr_assert_eq(head.headers.fields().size(), 2);
        cr_assert(!head.headers.has("Authorization"));
        cr_assert_eq(parser.takeBody(), "abc");
    }
}

Test(http_parser, an_answer_that_ends_early_is_truncated)
{
    http_parser parser(kind::Response, {});
    feedInPieces(parser, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc", 1000);
    parser.finishAtConnectionEnd();
    cr_assert(parser.failure() == parse_failure::Truncated);
    http_parser chunked(kind::Response, {});
    feedInPieces(chunked, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", 1000);
    chunked.finishAtConnectionEnd();
    cr_assert(chunked.failure() == parse_failure::Truncated);
}

// A connection that closes without an answer, or within the head of one.
Test(http_parser, an_answer_whose_head_ends_early_is_truncated)
{
    const std::string head = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 00\r\n\r\n";
    for (std::size_t cut = 0; cut < head.size(); ++cut) {
        http_parser parser(kind::Response, {});
        feedInPieces(parser, head.substr(0, cut), 1000);
        parser.finishAtConnectionEnd();
        cr_expect(parser.failure() == parse_failure::Truncated && !parser.hasHead() && !parser.isComplete(), "cut at %zu", cut);
    }
}

Test(http_parser, an_answer_without_a_length_ends_with_its_connection)
{
    http_parser parser(kind::Response, {});
    feedInPieces(parser, "HTTP/1.1 200 OK\r\n\r\nabc", 1000);
    cr_assert(parser.hasHead() && !parser.isComplete());
    parser.finishAtConnectionEnd();
    cr_assert(parser.isComplete());
    cr_assert(parser.takeResponseHead().bodyEndsAtClose);
    cr_assert_eq(parser.takeBody(), "abc");
}

// Random byte changes to a valid request must not crash the parser, and after the end of the connection the message is
// either complete or failed.
Test(http_parser, spoiled_messages_do_no_harm)
{
    std::mt19937_64 random(20261204);
    const std::string text = "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
    for (int round = 0; round < 20000; ++round) {
        std::string mutated = text;
        const std::size_t changes = 1 + random() % 4;
        for (std::size_t change = 0; change < changes; ++change)
            mutated[random() % mutated.size()] = static_cast<char>(random());
        http_parser parser(kind::Request, {});
        feedInPieces(parser, mutated, 1 + random() % 20);
        parser.finishAtConnectionEnd();
        cr_assert(parser.isComplete() || parser.failure() != parse_failure::None);
    }
}
