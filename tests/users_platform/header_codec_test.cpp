#include "platform/header_codec.h"

#include <criterion/criterion.h>

using namespace appleramp;
using namespace appleramp::users_platform;
using namespace std::chrono_literals;

namespace {

http_request callersRequest()
{
    http_request request;
    request.head.method = "POST";
    request.head.target = "/lohu930/2f?x=1";
    request.head.headers.add("Host", "Ficu95.example:80");
    request.head.headers.add("X-Attempt-Id", "9c41");
    request.head.headers.add("X-Token-Counts", "1460,80");
    request.head.headers.add("X-Time-Budget-Ms", "8000");
    request.head.headers.add("Authorization", "Token secret");
    request.head.headers.add("X-Tenant", "forged");
    request.head.headers.add("Connection", "keep-alive");
    request.body = "body";
    return request;
}

http_response_head answerWith(unsigned status, std::initializer_list<header_field> fields)
{
    http_response_head head;
    head.status = status;
    for (const header_field& field : fields)
        head.headers.add(field.name, field.value);
    return head;
}

} // namespace

Test(header_codec, a_callers_request_is_understood)
{
    const auto caller = decodeCallerRequest(callersRequest());
    cr_assert_eq(caller.host, "ficu95.example");
    cr_assert_eq(caller.path, "/lohu930/2f");
    cr_assert_eq(caller.sendId, "9c41");
    cr_assert_eq(caller.apiKey, "secret");
    cr_assert(caller.timeout == duration(8s));
    cr_assert_eq(caller.promptTokens, 1460);
    cr_assert_eq(caller.answerTokens, 80);
}

Test(header_codec, the_same_request_has_the_same_content_hash)
{
    auto again = callersRequest();
    again.head.headers.set("X-Attempt-Id", "other");
    cr_assert_eq(decodeCallerRequest(again).contentHash, decodeCallerRequest(callersRequest()).contentHash);
    again.body = "other";
    cr_assert_neq(decodeCallerRequest(again).contentHash, decodeCallerRequest(callersRequest()).contentHash);
}

// Guards against suspecting what belongs to one request alone, which is the last part of its prompt.
Test(header_codec, the_parts_that_prompts_share_are_told)
{
    http_request request = callersRequest();
    request.head.headers.set("X-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250");
    const auto first = decodeCallerRequest(request).sharedPromptParts;
    request.head.headers.set("X-Prompt-Prefix", "5c1e07a2:700,aa:1");
    const auto second = decodeCallerRequest(request).sharedPromptParts;
    cr_assert_eq(first.size(), 2);
    cr_assert_eq(second.size(), 1);
    cr_assert_eq(first[0], second[0]);
    cr_assert_neq(first[0], first[1]);
    for (const char* odd : { "", "5c1e07a2", "5c1e07a2:800", ",", ",,,,", ":,:" }) {
        request.head.headers.set("X-Prompt-Prefix", odd);
        cr_assert_leq(decodeCallerRequest(request).sharedPromptParts.size(), 4);
    }
}

Test(header_codec, an_endpoint_never_sees_the_key_nor_a_forged_team)
{
    const auto head = encodeEndpointHead(callersRequest().head, { endpoint_id("i-7"), team_id("hule"), 7500ms, 2, {} });
    cr_assert(!head.headers.has("Authorization"));
    cr_assert_eq(head.headers.get("X-Tenant"), "hule");
    cr_assert_eq(head.headers.get("X-Expect-Instance"), "i-7");
    cr_assert_eq(head.headers.get("X-Time-Budget-Ms"), "7500");
    cr_assert_eq(head.headers.get("X-Token-Counts"), "1460,80");
    cr_assert(!head.headers.has("Connection"));
    const auto open = encodeEndpointHead(callersRequest().head, { endpoint_id("i-7"), {}, 7500ms, 2, {} });
    cr_assert(!open.headers.has("X-Tenant"));
}

// Guards against hints that callers make up: absurd ones must not overflow, unreadable ones count as missing.
Test(header_codec, length_hints_are_read)
{
    http_request request = callersRequest();
    cr_assert_eq(decodeCallerRequest(request).expectedAnswerTokens, 0);
    const std::pair<const char*, std::uint32_t> hints[] { { "150", 150 }, { "1e300", 1'000'000'000 }, { "-5", 0 }, { "long", 0 }, { "nan", 0 } };
    for (const auto& [text, tokens] : hints) {
        request.head.headers.set("X-Length-Hint", text);
        cr_assert_eq(decodeCallerRequest(request).expectedAnswerTokens, tokens);
    }
}

Test(header_codec, a_resumed_stream_names_the_last_event)
{
    const auto head = encodeEndpointHead(callersRequest().head, { endpoint_id("i-7"), {}, 1s, 2, "12" });
    cr_assert_eq(head.headers.get("Last-Event-Id"), "12");
}

Test(header_codec, answers_are_told_apart)
{
    cr_assert(decodeResponse(answerWith(200, { { "X-Attempt-Id", "9c41" }, { "X-Response-Stamp", "s" } }), "9c41").kind == response_kind::Executed);
    cr_assert(decodeResponse(answerWith(500, { { "X-Attempt-Id", "9c41" } }), "9c41").kind == response_kind::Executed);
    cr_assert(decodeResponse(answerWith(200, { { "X-Attempt-Id", "late" } }), "9c41").kind == response_kind::Unmatched);
    cr_assert(decodeResponse(answerWith(200, {}), "9c41").kind == response_kind::Unmatched);
    cr_assert(decodeResponse(answerWith(503, { { "X-Not-Executed", "1" } }), "9c41").kind == response_kind::Rejected);
    cr_assert(decodeResponse(answerWith(421, {}), "9c41").kind == response_kind::WrongEndpoint);
    cr_assert(decodeResponse(answerWith(503, { { "X-Not-Executed", "1" }, { "X-Attempt-Id", "9c41" } }), "9c41").namesRequest);
    cr_assert_not(decodeResponse(answerWith(503, { { "X-Not-Executed", "1" } }), "9c41").namesRequest);
}

// Guards against a status that promises "not executed" and is passed on, while the engine does not state that: callers send the request
// again, and it runs twice.
Test(header_codec, no_status_that_promises_not_executed_is_passed_on)
{
    for (unsigned status = 100; status < 600; ++status) {
        const response_kind plain = decodeResponse(answerWith(status, { { "X-Attempt-Id", "9c41" } }), "9c41").kind;
        cr_assert(plain != response_kind::Executed || !promisesNotExecuted(status), "%u", status);
        // Only the engine's word, or that another engine answered, proves that the request was not executed.
        cr_assert(plain != response_kind::Rejected, "%u", status);
        cr_assert_eq(plain == response_kind::WrongEndpoint, status == 421, "%u", status);
        const response_kind stated = decodeResponse(answerWith(status, { { "X-Attempt-Id", "9c41" }, { "X-Not-Executed", "1" } }), "9c41").kind;
        cr_assert(stated == (status == 421 ? response_kind::WrongEndpoint : response_kind::Rejected), "%u", status);
    }
    for (const unsigned status : { 408U, 429U, 503U }) {
        const auto reading = decodeResponse(answerWith(status, { { "X-Attempt-Id", "9c41" }, { "Retry-After", "1" } }), "9c41");
        cr_assert(reading.kind == response_kind::UnprovenRefusal);
        // The engine's pause holds all the same.
        cr_assert_eq(reading.retryAfter.has_value(), status == 503);
    }
}

// Guards against successes that callers can't count, since the engine's signature is missing or there are two, and against bodies that are
// not the engine's own.
Test(header_codec, a_success_has_one_signature_and_its_own_body)
{
    const auto defectOf = [](unsigned status, const std::vector<header_field>& fields) {
        http_response_head head;
        head.status = status;
        head.headers.add("X-Attempt-Id", "9c41");
        for (const header_field& field : fields)
            head.headers.add(field.name, field.value);
        const auto reading = decodeResponse(head, "9c41");
        cr_assert_eq(reading.kind == response_kind::Executed, reading.defect == response_defect::None);
        return reading.defect;
    };
    cr_assert(defectOf(200, { { "x-response-stamp", "s" } }) == response_defect::None);
    cr_assert(defectOf(200, { { "X-Response-Stamp", "s" }, { "X-Response-Stamp", "s" } }) == response_defect::None);
    cr_assert(defectOf(200, {}) == response_defect::Signature);
    cr_assert(defectOf(204, { { "X-Response-Stamp", "" } }) == response_defect::Signature);
    for (const unsigned status : { 200U, 404U, 500U })
        cr_assert(defectOf(status, { { "X-Response-Stamp", "s" }, { "X-Response-Stamp", "t" } }) == response_defect::Signature);
    // A failure is one with or without a signature.
    cr_assert(defectOf(500, {}) == response_defect::None);
    cr_assert(defectOf(400, {}) == response_defect::None);
    for (const unsigned status : { 200U, 500U })
        cr_assert(defectOf(status, { { "X-Response-Stamp", "s" }, { "Content-Encoding", "gzip" } }) == response_defect::EncodedBody);
    cr_assert(defectOf(200, { { "X-Response-Stamp", "s" }, { "X-Attempt-Id", "late" } }) == response_defect::OtherRequest);
    // An engine that turns a request away needs neither.
    cr_assert(decodeResponse(answerWith(503, { { "X-Not-Executed", "1" }, { "Content-Encoding", "gzip" } }), "9c41").kind == response_kind::Rejected);
}

// Guards against an engine that takes the signature and the id from its caller by naming them in Connection.
Test(header_codec, what_a_caller_needs_is_not_stripped)
{
    http_response_head head = answerWith(200, { { "X-Attempt-Id", "9c41" }, { "X-Response-Stamp", "s" }, { "X-Own", "1" }, { "Connection", "close, X-Response-Stamp, x-attempt-id, X-Own" } });
    const http_response_head passed = encodeCallerResponseHead(std::move(head));
    cr_assert_eq(passed.headers.get("X-Response-Stamp"), "s");
    cr_assert_eq(passed.headers.get("X-Attempt-Id"), "9c41");
    cr_assert(!passed.headers.has("X-Own"));
    cr_assert(!passed.headers.has("Connection"));
}

// Guards against texts of Retry-After that are no number of seconds: a date, a negative one, "nan", "inf", a huge one.
Test(header_codec, a_pause_is_a_bounded_number_of_seconds)
{
    const auto pauseOf = [](unsigned status, const std::string& text) {
        return decodeResponse(answerWith(status, { { "X-Attempt-Id", "9c41" }, { "X-Not-Executed", "1" }, { "Retry-After", text } }), "9c41").retryAfter;
    };
    cr_assert(pauseOf(503, "1.5") == duration(1500ms));
    cr_assert(pauseOf(503, "1e30") == duration(600s));
    for (const std::string text : { "-1", "nan", "inf", "1e999", "Fri, 04 Dec 2026 10:00:00 GMT", "", "2 s" })
        cr_assert_not(pauseOf(503, text).has_value(), "%s", text.c_str());
    // Only an engine that turns requests away asks for a pause.
    cr_assert_not(pauseOf(429, "2").has_value());
}

Test(header_codec, an_engine_that_leaves_says_so_for_itself_only)
{
    cr_assert(decodeResponse(answerWith(200, { { "X-Attempt-Id", "9c41" }, { "Server-Leaving", "1" } }), "9c41").leaving);
    cr_assert_not(decodeResponse(answerWith(200, { { "X-Attempt-Id", "9c41" }, { "Server-Leaving", "0" } }), "9c41").leaving);
    // Another engine answers at the address, or the answer belongs to another request.
    cr_assert_not(decodeResponse(answerWith(421, { { "X-Attempt-Id", "9c41" }, { "Server-Leaving", "1" } }), "9c41").leaving);
    cr_assert_not(decodeResponse(answerWith(200, { { "X-Attempt-Id", "other" }, { "Server-Leaving", "1" } }), "9c41").leaving);
}

namespace {

limit_statement limitOf(std::vector<header_field> fields, unsigned status = 200)
{
    fields.push_back({ "X-Attempt-Id", "9c41" });
    http_response_head head;
    head.status = status;
    for (const header_field& field : fields)
        head.headers.add(field.name, field.value);
    return decodeResponse(head, "9c41").limit;
}

} // namespace

// Guards against limits that are no number of requests per second: they are neither taken for a limit nor for none.
Test(header_codec, a_limit_is_a_bounded_number)
{
    cr_assert_eq(std::get<request_limit>(limitOf({ { "server-limit", "1.8" } })).requestsPerSecond, 1.8);
    cr_assert_eq(std::get<request_limit>(limitOf({ { "Server-Limit", "0" } })).requestsPerSecond, 0);
    cr_assert_eq(std::get<request_limit>(limitOf({ { "Server-Limit", "1e30" } })).requestsPerSecond, 1e6);
    for (const std::string text : { "", "-1", "nan", "inf", "1e999", "2 per second", "1,5", "2, 3" })
        cr_assert(std::holds_alternative<unreadable_limit>(limitOf({ { "Server-Limit", text } })), "%s", text.c_str());
    cr_assert_leq(std::get<unreadable_limit>(limitOf({ { "Server-Limit", std::string(4000, 'x') } })).value.size(), 40);
    cr_assert(std::holds_alternative<no_limit>(limitOf({})));
}

// Guards against the higher one of two limits in one answer.
Test(header_codec, the_lowest_of_several_limits_holds)
{
    cr_assert_eq(std::get<request_limit>(limitOf({ { "Server-Limit", "5" }, { "Server-Limit", "2" } })).requestsPerSecond, 2);
    cr_assert(std::holds_alternative<unreadable_limit>(limitOf({ { "Server-Limit", "5" }, { "Server-Limit", "x" } })));
}

// Guards against a limit that ends with an answer that another endpoint gave.
Test(header_codec, an_answer_of_another_endpoint_says_nothing_of_a_limit)
{
    cr_assert(std::holds_alternative<limit_not_stated>(limitOf({ { "Server-Limit", "2" } }, 421)));
    cr_assert(std::holds_alternative<limit_not_stated>(limitOf({ { "X-Not-Executed", "1" } }, 503)));
    cr_assert_eq(std::get<request_limit>(limitOf({ { "X-Not-Executed", "1" }, { "Retry-After", "2" }, { "Server-Limit", "3" } }, 503)).requestsPerSecond, 3);
    cr_assert(std::holds_alternative<limit_not_stated>(decodeResponse(answerWith(200, { { "X-Attempt-Id", "late" }, { "Server-Limit", "2" } }), "9c41").limit));
}
