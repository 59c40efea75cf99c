#include "decisions/forwarding/event_splitter.h"

#include <criterion/criterion.h>

using namespace appleramp;

Test(event_splitter, only_whole_events_come_out)
{
    event_splitter splitter;
    cr_assert_eq(splitter.appendAndExtract("id: 1\nda"), "");
    cr_assert(splitter.hasPartial());
    cr_assert_eq(splitter.appendAndExtract("ta: a\n\nid: 2\n"), "id: 1\ndata: a\n\n");
    cr_assert_eq(*splitter.lastEventId(), "1");
    cr_assert_eq(splitter.appendAndExtract("data: b\n\n"), "id: 2\ndata: b\n\n");
    cr_assert(!splitter.hasPartial());
    cr_assert_eq(*splitter.lastEventId(), "2");
}

// An endpoint may break in the middle of an event; the next endpoint resumes after the last whole event.
Test(event_splitter, a_broken_event_is_dropped)
{
    event_splitter splitter;
    splitter.appendAndExtract("id: 1\ndata: a\n\nid: 2\ndata: half");
    splitter.dropPartial();
    cr_assert_eq(splitter.appendAndExtract("id: 2\ndata: b\n\n"), "id: 2\ndata: b\n\n");
}

Test(event_splitter, lines_may_end_with_carriage_returns)
{
    event_splitter splitter;
    cr_assert_eq(splitter.appendAndExtract("id: 7\r\ndata: a\r\n\r\n"), "id: 7\r\ndata: a\r\n\r\n");
    cr_assert_eq(*splitter.lastEventId(), "7");
}
