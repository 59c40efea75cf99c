#include "agent_fixture.h"

#include "entry_fixture.h"

#include <stdexcept>

namespace appleramp {

namespace {

constexpr std::uint32_t endpointSlots = 2048;
constexpr std::uint32_t spareSlots = 1536;
constexpr incarnation agentLife = 1;
constexpr auto tokenText = "data: {\"token\":1}\n\n";

agent_identity identity()
{
    agent_identity self;
    self.instance = instance_id("agent-1");
    self.zone = availability_zone_id("zone-a");
    self.life = agentLife;
    self.endpoint = { endpoint_id("endpoint-1"), endpoint_kind::ModelEngine, { benchmarkRequest().service }, {} };
    self.limits.coldSlots = endpointSlots;
    self.limits.warmSlots = endpointSlots;
    return self;
}

hello entryGreeting(std::uint64_t entry)
{
    hello greeting;
    greeting.instance = instance_id("entry-" + std::to_string(entry));
    greeting.role = process_role::Entry;
    greeting.zone = availability_zone_id("zone-a");
    return greeting;
}

} // namespace

agent_fixture::agent_fixture(std::uint64_t entries)
    : m_reducer(identity())
{
    apply(engine_probed { true, "boot-1", 0, endpointSlots });
    for (std::uint64_t entry = 1; entry <= entries; ++entry) {
        apply(link_opened { entry, {} });
        receive(entry, entryGreeting(entry));
    }
    // The first entry holds most slots; the others keep a spare one each.
    for (std::uint64_t entry = 2; entry <= entries; ++entry)
        receive(entry, slot_demand { 0, 1, 0 });
    receive(1, slot_demand { 0, spareSlots, 0 });
}

agent_effects agent_fixture::apply(agent_event_body body)
{
    return m_reducer.apply({ m_now, std::move(body) });
}

agent_effects agent_fixture::receive(link_number link, link_message message)
{
    return apply(message_received { link, { link + 1, m_reducer.configuration().version, std::move(message) } });
}

call_number agent_fixture::begin(bool keyed)
{
    start_attempt message { { 2, ++m_lastAttempt }, benchmarkRequest(), false, agentLife };
    message.request.repeatable = !keyed;
    if (keyed)
        message.request.key = idempotency_key("north-kitchens/orders/" + std::to_string(m_lastAttempt));
    for (const auto& effect : receive(1, std::move(message)))
        if (const auto* call = std::get_if<call_engine>(&effect))
            return call->call;
    throw std::logic_error("the agent did not start the attempt");
}

void agent_fixture::finish(call_number call)
{
    apply(engine_head { call, 200, { { "Content-Type", "text/event-stream" } } });
    apply(engine_data { call, tokenText });
    apply(engine_end { call });
}

void agent_fixture::complete(std::uint64_t attempts, bool keyed)
{
    for (std::uint64_t i = 0; i < attempts; ++i)
        finish(begin(keyed));
}

} // namespace appleramp
