#include "wire/envelope_codec.h"

#include "wire/wire_error.h"

#include <criterion/criterion.h>

using namespace appleramp;

Test(envelope_codec, carries_a_request_with_bytes_outside_ascii)
{
    start_attempt start;
    start.attempt = { 7, 3 };
    start.request.service = service_id("orders");
    start.request.key = idempotency_key("k1");
    start.request.body = std::string("\xff\x00\x01", 3);
    const auto bytes = encodeEnvelope({ 7, 42, start });
    const auto decoded = decodeEnvelope(bytes);
    const auto& back = std::get<start_attempt>(decoded.message);
    cr_assert_eq(decoded.sender, 7U);
    cr_assert_eq(decoded.configuration, 42U);
    cr_assert(back.attempt == start.attempt);
    cr_assert(back.request.key == start.request.key);
    cr_assert(back.request.body == start.request.body);
}

Test(envelope_codec, refuses_truncated_bytes)
{
    const auto bytes = encodeEnvelope({ 1, 1, heartbeat { 5 } });
    for (std::size_t length = 0; length < bytes.size(); ++length)
        cr_assert_throw(decodeEnvelope(std::string_view(bytes).substr(0, length)), wire_error);
}

Test(envelope_codec, refuses_bytes_after_the_message)
{
    cr_assert_throw(decodeEnvelope(encodeEnvelope({ 1, 1, heartbeat { 5 } }) + "x"), wire_error);
}
