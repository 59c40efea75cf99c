#include "http/http_parser.h"

#include "fuzz/byte_mutator.h"

#include <criterion/criterion.h>

#include <cctype>
#include <random>
#include <string>
#include <string_view>
#include <vector>

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

// Guards against an end of the process: Beast asserts that the header of a last chunk is not alone in what it looks at twice, which is
// wrong for a body without any other chunk whose bytes come one by one.
Test(http_parser, an_empty_body_in_chunks_is_read_in_any_pieces)
{
    const std::string framing = "Host: x\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const char* chunks : { "0\r\n\r\n", "0\r\nX-T: 1\r\n\r\n", "0;a\r\n\r\n", "00\r\n\r\n" }) {
        const std::string requestText = "POST / HTTP/1.1\r\n" + framing + chunks;
        const std::string responseText = "HTTP/1.1 200 OK\r\n" + framing + chunks;
        for (std::size_t pieceSize = 1; pieceSize <= responseText.size(); ++pieceSize) {
            http_parser request(kind::Request, {});
            cr_assert(feedInPieces(request, requestText, pieceSize) == parse_failure::None);
            cr_assert(request.isComplete() && request.takeBody().empty());
            http_parser response(kind::Response, {});
            cr_assert(feedInPieces(response, responseText, pieceSize) == parse_failure::None);
            cr_assert(response.isComplete() && response.takeBody().empty());
        }
        // The connection ends before the body does.
        for (std::size_t missing = 1; missing <= std::string_view(chunks).size(); ++missing) {
            http_parser response(kind::Response, {});
            feedInPieces(response, responseText.substr(0, responseText.size() - missing), 1);
            response.finishAtConnectionEnd();
            cr_assert(response.failure() == parse_failure::Truncated);
        }
    }
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

namespace {

struct read_response {
    // None if the response is complete, also by the end of its connection.
    parse_failure failure = parse_failure::None;
    response_defect defect = response_defect::None;
    unsigned status = 0;
    std::string body;
};

// Reads the response in pieces of the given size; its connection ends behind it.
read_response readResponse(const std::string& text, std::size_t pieceSize, parser_limits limits = {})
{
    http_parser parser(kind::Response, limits);
    feedInPieces(parser, text, pieceSize);
    parser.finishAtConnectionEnd();
    if (!parser.isComplete() && parser.failure() == parse_failure::None)
        return { parse_failure::Truncated };
    if (parser.failure() != parse_failure::None)
        return { parser.failure(), parser.defect() };
    const unsigned status = parser.takeResponseHead().status;
    return { parse_failure::None, response_defect::None, status, parser.takeBody() };
}

// The same for every size of pieces.
void assertReadAs(const std::string& text, const read_response& expected, parser_limits limits = {})
{
    for (std::size_t pieceSize = 1; pieceSize <= text.size(); ++pieceSize) {
        const read_response seen = readResponse(text, pieceSize, limits);
        cr_assert(seen.failure == expected.failure && seen.defect == expected.defect, "%d %s in pieces of %zu: %s", static_cast<int>(seen.failure),
            std::string(nameOf(seen.defect)).c_str(), pieceSize, text.c_str());
        cr_assert_eq(seen.status, expected.status);
        cr_assert_eq(seen.body, expected.body);
    }
}

void assertDefect(const std::string& text, response_defect defect) { assertReadAs(text, { parse_failure::Malformed, defect }); }

const std::string sound = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";

} // namespace

// Guards against a status that is none, which callers get as an answer.
Test(http_parser, a_status_is_one_of_100_to_599)
{
    for (unsigned status = 0; status < 1000; ++status) {
        const std::string digits = (status < 100 ? "0" : "") + std::string(status < 10 ? "0" : "") + std::to_string(status);
        const read_response seen = readResponse("HTTP/1.1 " + digits + " X\r\nContent-Length: 0\r\n\r\n", 1000);
        if (status < 100 || status > 599)
            cr_assert(seen.defect == response_defect::Status, "%u", status);
        else if (status == 101)
            cr_assert(seen.defect == response_defect::Upgrade);
        else if (status < 200)
            cr_assert(seen.failure == parse_failure::Truncated, "%u", status);
        else
            cr_assert(seen.failure == parse_failure::None && seen.status == status, "%u", status);
    }
    for (const char* status : { "20", "2000", "2x0", "+20", "-20", " 200", "" })
        assertDefect("HTTP/1.1 " + std::string(status) + " OK\r\n\r\n", response_defect::Syntax);
}

// Guards against interim responses that are taken for the response, and against those that come without end.
Test(http_parser, interim_responses_are_skipped_within_bounds)
{
    const std::string interim = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
    assertReadAs(interim + sound, { parse_failure::None, response_defect::None, 200, "whole" });
    assertReadAs("HTTP/1.1 100 Continue\r\n\r\n" + interim + "HTTP/1.1 204 No Content\r\n\r\n", { parse_failure::None, response_defect::None, 204, "" });
    assertDefect("HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n" + sound, response_defect::Upgrade);
    std::string many;
    for (int count = 0; count < 17; ++count)
        many += interim;
    assertDefect(many + sound, response_defect::InterimResponses);
    const std::string large = "HTTP/1.1 102 Processing\r\nX-A: " + std::string(400, 'a') + "\r\n\r\n";
    assertReadAs(large + large + sound, { parse_failure::None, response_defect::None, 200, "whole" }, { .maxHeaderBytes = 1024 });
    assertReadAs(large + large + large + sound, { parse_failure::Malformed, response_defect::InterimResponses }, { .maxHeaderBytes = 1024 });
}

// Guards against lines that one reader takes for a field and another for the end of the field before it.
Test(http_parser, a_response_has_no_folded_field)
{
    for (const std::string_view blank : { " ", "\t" }) {
        assertDefect("HTTP/1.1 200 OK\r\nX-A: a\r\n" + std::string(blank) + "Content-Length: 3\r\n\r\nwhole", response_defect::FoldedField);
        assertDefect("HTTP/1.1 200 OK\r\n" + std::string(blank) + "X-A: a\r\nContent-Length: 5\r\n\r\nwhole", response_defect::FoldedField);
        assertDefect("HTTP/1.1 103 Early Hints\r\nX-A: a\r\n" + std::string(blank) + "b\r\n\r\n" + sound, response_defect::FoldedField);
        // A body may have such lines.
        assertReadAs("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\na\r\n" + std::string(blank) + "bc", { parse_failure::None, response_defect::None, 200, "a\r\n" + std::string(blank) + "bc" });
    }
}

// Guards against blanks, control bytes and separators in names of fields, which readers take for different fields.
Test(http_parser, a_name_of_a_field_has_no_blank_and_no_control_byte)
{
    for (int code = 0; code < 256; ++code) {
        const char byte = static_cast<char>(code);
        const bool isNameByte = std::isalnum(code) != 0 || std::string_view("!#$%&'*+-.^_`|~").find(byte) != std::string_view::npos;
        if (isNameByte || byte == ':' || byte == '\r' || byte == '\n')
            continue;
        const bool isBlank = byte == ' ' || byte == '\t';
        const std::string odd(1, byte);
        assertDefect("HTTP/1.1 200 OK\r\nX-" + odd + "A: a\r\nContent-Length: 5\r\n\r\nwhole", response_defect::Syntax);
        assertDefect("HTTP/1.1 200 OK\r\nContent-Length" + odd + ": 3\r\n\r\nwhole", response_defect::Syntax);
        assertDefect("HTTP/1.1 200 OK\r\n" + odd + "Content-Length: 3\r\n\r\nwhole", isBlank ? response_defect::FoldedField : response_defect::Syntax);
        assertDefect("HTTP/1.1 200 OK\r\nTransfer-Encoding" + odd + ": chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", response_defect::Syntax);
    }
    assertDefect("HTTP/1.1 200 OK\r\n: a\r\nContent-Length: 5\r\n\r\nwhole", response_defect::Syntax);
    assertDefect("HTTP/1.1 200 OK\r\nX-A\r\nContent-Length: 5\r\n\r\nwhole", response_defect::Syntax);
    for (const char* value : { "a\x01", "a\x7f", "a\rb" })
        assertDefect("HTTP/1.1 200 OK\r\nX-A: " + std::string(value) + "\r\nContent-Length: 5\r\n\r\nwhole", response_defect::Syntax);
}

// Guards against a body that is decoded by half of its codings, or not at all, and passed on as whole.
Test(http_parser, a_response_is_coded_in_chunks_or_not_at_all)
{
    const std::string chunks = "5\r\nwhole\r\n0\r\n\r\n";
    for (const char* coding : { "gzip, chunked", "chunked;q=1", "chunked, chunked", "chunked, gzip", "identity", "xchunked", "gzip", ",chunked", "" })
        assertDefect("HTTP/1.1 200 OK\r\nTransfer-Encoding: " + std::string(coding) + "\r\n\r\n" + chunks, response_defect::TransferCoding);
    assertDefect("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks, response_defect::Syntax);
    assertDefect("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks, response_defect::TransferCoding);
    assertDefect("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks, response_defect::Syntax);
    assertReadAs("HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked \r\n\r\n" + chunks, { parse_failure::None, response_defect::None, 200, "whole" });
}

// The reverse: heads of unusual form that are sound.
Test(http_parser, sound_responses_are_read)
{
    const read_response whole { parse_failure::None, response_defect::None, 200, "whole" };
    assertReadAs("HTTP/1.1 200 \r\nContent-Length: 5\r\n\r\nwhole", whole);
    assertReadAs("HTTP/1.1 200 Fine \xfc\r\nX-A: \xc3\xbc\r\nX-B:\r\nX-C: a\tb\r\nContent-Length: 5\r\n\r\nwhole", whole);
    assertReadAs("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\nwhole", whole);
    assertReadAs("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;a=b\r\nwhole\r\n0;c\r\nX-T: 1\r\n\r\n", whole);
    assertReadAs("HTTP/1.0 200 OK\r\n\r\nwhole", whole);
    assertReadAs("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nwhole", whole);
    assertReadAs("HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n", { parse_failure::None, response_defect::None, 304, "" });
}

// Guards against readings that depend on how a response was cut into reads: two readers of the same bytes would see different answers.
Test(http_parser, odd_responses_are_read_the_same_in_any_pieces)
{
    constexpr int mutants = 4000;
    const std::vector<std::string> responses { sound, "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + sound,
        "HTTP/1.1 200 OK\r\nX-A: a\r\nTransfer-Encoding: chunked\r\n\r\n5;a=b\r\nwhole\r\n0\r\nX-T: 1\r\n\r\n", "HTTP/1.0 200 OK\r\nConnection: close\r\n\r\nwhole" };
    byte_mutator mutator(63, { "\r\n", "\r\n ", "\r\n\t", "\r\n\r\n", " ", ":", ",", "\x01", "HTTP/1.1 100 Continue\r\n\r\n", "Content-Length: 3\r\n" });
    int accepted = 0;
    for (int mutant = 0; mutant < mutants; ++mutant) {
        const std::string text = mutator.mutate(responses[mutator.below(responses.size())]);
        if (text.empty())
            continue;
        const read_response whole = readResponse(text, text.size());
        const bool isAccepted = whole.failure == parse_failure::None;
        accepted += isAccepted ? 1 : 0;
        cr_assert(!isAccepted || (whole.status >= 200 && whole.status < 600), "%s", text.c_str());
        for (const std::size_t pieceSize : { 1, 2, 3, 7, 16, 17 }) {
            const read_response seen = readResponse(text, pieceSize);
            cr_assert((seen.failure == parse_failure::None) == isAccepted && seen.status == whole.status && seen.body == whole.body, "mutant %d in pieces of %zu: %s", mutant,
                pieceSize, text.c_str());
        }
    }
    cr_assert_gt(accepted, mutants / 20);
    cr_assert_lt(accepted, mutants);
}
