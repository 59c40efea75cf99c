#include "replay/trace_header.h"

#include "replay/replay_error.h"

#include <criterion/criterion.h>

using namespace appleramp;

Test(trace_header, an_entry_is_written_and_read_back)
{
    entry_identity self;
    self.instance = instance_id("entry-1");
    self.zone = availability_zone_id("zone-a");
    self.life = 42;
    self.linkAddress = "127.0.0.1:9";
    self.maxRequests = 17;
    const auto line = encodeTraceHeader(self);
    const auto back = std::get<entry_identity>(decodeTraceHeader(line));
    cr_assert(back.instance == self.instance);
    cr_assert_eq(back.life, 42u);
    cr_assert_eq(back.maxRequests, 17u);
    cr_assert(encodeTraceHeader(back) == line);
}

Test(trace_header, an_agent_is_written_and_read_back)
{
    agent_identity self;
    self.instance = instance_id("agent-1");
    self.endpoint = { endpoint_id("e1"), endpoint_kind::ModelEngine, { service_id("drafts") }, { adapter_id("nl") } };
    self.limits.warmSlots = 5;
    const auto line = encodeTraceHeader(self);
    const auto back = std::get<agent_identity>(decodeTraceHeader(line));
    cr_assert(back.endpoint.kind == endpoint_kind::ModelEngine);
    cr_assert_eq(back.limits.warmSlots, 5u);
    cr_assert(encodeTraceHeader(back) == line);
}

Test(trace_header, other_lines_are_refused)
{
    for (const char* line : { "", "{}", "not JSON", R"({"appleramp_trace":2,"role":"entry"})",
             R"({"appleramp_trace":1,"role":"entry"})", R"({"at":1,"event":{"type":"time_passed","value":{}}})" })
        cr_assert_throw(decodeTraceHeader(line), replay_error);
}
