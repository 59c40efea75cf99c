#include "replay/trace_replay.h"

#include "decisions/agent/agent_reducer.h"
#include "decisions/entry/entry_reducer.h"
#include "replay/replay_error.h"
#include "replay/trace_header.h"
#include "wire/event_codec.h"

#include <criterion/criterion.h>

#include <sstream>

using namespace appleramp;

namespace {

entry_identity self()
{
    entry_identity identity;
    identity.instance = instance_id("entry-1");
    identity.zone = availability_zone_id("zone-a");
    identity.life = 42;
    return identity;
}

std::vector<entry_event> someEvents()
{
    std::vector<entry_event> events;
    const auto add = [&events](entry_event_body body) {
        events.push_back({ instant(std::chrono::milliseconds(10 * events.size())), std::move(body) });
    };
    add(time_passed {});
    add(instances_listed { { { instance_id("agent-1"), process_role::Agent, availability_zone_id("zone-a"),
        "127.0.0.1:1", "", instance_state::Live } } });
    add(link_opened { 5, instance_id("agent-1") });
    add(request_received { 1, {} });
    add(status_requested { 2 });
    add(stop_requested {});
    return events;
}

std::string traceOf(const std::vector<entry_event>& events)
{
    std::string trace = encodeTraceHeader(self()) + '\n';
    for (const entry_event& event : events)
        trace += encodeEvent(event) + '\n';
    return trace;
}

std::string replayText(const std::string& trace)
{
    std::istringstream input(trace);
    std::string text;
    replayTrace(input, "trace", [&text](const replayed_event& event) {
        for (const std::string& effect : event.effects)
            text += std::to_string(event.number) + ' ' + effect + '\n';
    });
    return text;
}

std::string errorOf(const std::string& trace)
{
    try {
        replayText(trace);
    } catch (const replay_error& problem) {
        return problem.what();
    }
    return {};
}

} // namespace

Test(trace_replay, gives_what_the_reducer_gave_when_it_was_recorded)
{
    entry_reducer reducer(self());
    std::string live;
    std::size_t number = 0;
    for (const entry_event& event : someEvents()) {
        ++number;
        for (const auto& effect : reducer.apply(event))
            live += std::to_string(number) + ' ' + encodeEffect(effect) + '\n';
    }
    cr_assert(!live.empty());
    cr_assert(replayText(traceOf(someEvents())) == live);
}

Test(trace_replay, the_same_input_gives_the_same_bytes)
{
    const std::string trace = traceOf(someEvents());
    cr_assert(replayText(trace) == replayText(trace));
}

Test(trace_replay, what_can_not_be_read_is_named_by_line)
{
    cr_assert(errorOf("").starts_with("trace:1: "));
    cr_assert(errorOf(traceOf(someEvents()) + "nonsense\n").starts_with("trace:8: "));
}
