#include "decisions/agent/agent_reducer.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace appleramp;
using namespace std::chrono_literals;

// Guards against requests that an entry sent just before it heard that the agent stops: an idle agent ended at its next tick, and the entry
// could not know that they never ran.
Test(agent_stop, an_idle_agent_still_refuses_what_is_under_way_to_it)
{
    agent_reducer agent({ instance_id("a1"), availability_zone_id("a"), 1, {}, {} });
    instant now { 10s };
    const auto stopsAfter = [&](agent_event_body body) {
        const agent_effects effects = agent.apply({ now, std::move(body) });
        return std::any_of(effects.begin(), effects.end(), [](const auto& effect) { return std::holds_alternative<stop_process>(effect); });
    };
    cr_assert(!stopsAfter(time_passed {}));
    now += 50ms;
    cr_assert(!stopsAfter(stop_requested {}));
    for (const instant end = now + 1s; now < end;) {
        now += 50ms;
        cr_assert(!stopsAfter(time_passed {}));
    }
    bool hasStopped = false;
    for (const instant end = now + 2s; now < end;) {
        now += 50ms;
        hasStopped = hasStopped || stopsAfter(time_passed {});
    }
    cr_assert(hasStopped);
}
