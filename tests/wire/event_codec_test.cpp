#include "wire/event_codec.h"

#include "wire/wire_error.h"

#include <criterion/criterion.h>

using namespace appleramp;

Test(event_codec, gives_equal_bytes_after_a_round_trip)
{
    entry_event event;
    event.at = instant(std::chrono::seconds(3));
    change_requested change;
    change.number = 9;
    change.changeId = "c-1";
    change.change = add_exception { { team_id("kitchen"), 5, "morning cutoff" } };
    event.body = change;
    const auto line = encodeEvent(event);
    cr_assert_eq(encodeEvent(decodeEntryEvent(line)), line);
}

Test(event_codec, names_an_unknown_type)
{
    std::string message;
    try {
        decodeEntryEvent(R"({"at":1,"event":{"type":"nonsense","value":{}}})");
    } catch (const wire_error& failure) {
        message = failure.what();
    }
    cr_assert(message.find("nonsense") != std::string::npos);
}

Test(event_codec, carries_bytes_that_are_not_unicode)
{
    request_received received;
    received.request.path = "/orders/\xff";
    received.request.headers = { { "Accept", "caf\xe9" } };
    received.request.body = "\xfe";
    received.request.team = team_id("kitchen\xff");
    const auto decoded = decodeEntryEvent(encodeEvent(entry_event { instant(), received }));
    const auto& back = std::get<request_received>(decoded.body).request;
    cr_assert(back.path == received.request.path);
    cr_assert(back.headers.at(0).value == received.request.headers.at(0).value);
    cr_assert(back.body == received.request.body);
}
