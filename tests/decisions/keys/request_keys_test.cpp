#include "decisions/keys/request_keys.h"

#include "decisions/configuration/configuration_register.h"
#include "decisions/detection/configuration_refresh.h"
#include "decisions/placement/demand_planner.h"
#include "decisions/placement/endpoint_directory.h"
#include "decisions/suspects/suspect_registry.h"
#include "decisions/tracing/trace_id_generator.h"
#include "wire/key_binding_codec.h"

#include <criterion/criterion.h>

using namespace appleramp;

namespace {

constexpr incarnation agentLife = 50;
constexpr link_number agentLink = 3;

// The request_keys of one entry that is linked to one agent, on link 3. The test supplies the replies of the table service.
struct request_keys_fixture {
    entry_identity self;
    configuration_register configuration;
    endpoint_directory endpoints;
    demand_planner demands;
    suspect_registry suspects;
    configuration_refresh refresh;
    operation_number lastOperation = 0;
    trace_id_generator traceIds { 1 };
    entry_effects effects;
    request_keys keys;

    request_keys_fixture()
    {
        hello greeting;
        greeting.instance = instance_id("agent-1");
        greeting.role = process_role::Agent;
        greeting.endpoint = endpoint_description { endpoint_id("ledger"), endpoint_kind::PlainService,
            { service_id("orders") }, {} };
        endpoints.add(agentLink, agentLife, greeting);
    }

    entry_context context() { return { instant(), self, configuration, endpoints, demands, suspects, refresh, lastOperation, traceIds, effects }; }

    void begin(request_number number, attempt_id attempt)
    {
        service_request request;
        request.key = idempotency_key("k");
        request.contentHash = 9;
        keys.add(number, request);
        keys.bindKey(context(), number, attempt, *endpoints.find(agentLink));
    }
    std::optional<key_decision> reply(platform_status status, std::vector<table_row> rows = {})
    {
        return keys.handleReply(context(), { lastOperation, { status, std::move(rows) } });
    }
    template <typename Effect>
    std::size_t count() const
    {
        std::size_t found = 0;
        for (const auto& effect : effects)
            found += std::holds_alternative<Effect>(effect) ? 1 : 0;
        return found;
    }
    template <typename Call>
    Call lastCall() const
    {
        return std::get<Call>(std::get<call_platform>(effects.back()).call);
    }
};

table_row rowOf(attempt_id attempt, row_version version, binding_state state = binding_state::Bound,
    incarnation life = agentLife, std::uint64_t hash = 9)
{
    const key_binding binding { attempt, endpoint_id("ledger"), instance_id("agent-1"), life, hash, state };
    return { "row", encodeKeyBinding(binding), version };
}

template <typename Step>
bool is(const std::optional<key_decision>& decision)
{
    return decision && std::holds_alternative<Step>(decision->step);
}

execution outcomeOf(const key_decision& decision) { return std::get<end_request>(decision.step).answer.outcome; }

} // namespace

Test(request_keys, dispatches_only_once_the_binding_stands)
{
    request_keys_fixture fixture;
    fixture.begin(1, { 7, 1 });
    cr_assert_eq(fixture.count<send_message>(), 0U);
    cr_assert(is<dispatch_bound>(fixture.reply(platform_status::Done, { rowOf({ 7, 1 }, 4) })));
}

Test(request_keys, reads_a_lost_reply_back)
{
    request_keys_fixture fixture;
    fixture.begin(1, { 7, 1 });
    cr_assert(!fixture.reply(platform_status::Unknown));
    cr_assert_eq(fixture.lastCall<table_get>().key.empty(), false);
    cr_assert(is<dispatch_bound>(fixture.reply(platform_status::Done, { rowOf({ 7, 1 }, 4) })));
}

Test(request_keys, says_not_started_while_the_store_is_down)
{
    request_keys_fixture fixture;
    fixture.begin(1, { 7, 1 });
    const auto decision = fixture.reply(platform_status::Unavailable);
    cr_assert(is<end_request>(decision));
    cr_assert(outcomeOf(*decision) == execution::NotStarted);
}

Test(request_keys, asks_the_holder_and_takes_over_on_its_tombstone)
{
    request_keys_fixture fixture;
    fixture.begin(1, { 7, 1 });
    cr_assert(is<await_key_holder>(fixture.reply(platform_status::Conflict, { rowOf({ 8, 1 }, 4) })));
    const auto decisions = fixture.keys.handleReport(agentLink, { { 8, 1 }, attempt_state::NeverStarted });
    cr_assert_eq(decisions.size(), 1U);
    cr_assert(std::holds_alternative<retry_placement>(decisions[0].step));
    fixture.keys.bindKey(fixture.context(), 1, { 7, 2 }, *fixture.endpoints.find(agentLink));
    cr_assert_eq(fixture.lastCall<table_put>().expected, 4U);
}

Test(request_keys, answers_every_send_that_waits_for_one_attempt)
{
    request_keys_fixture fixture;
    for (const request_number number : { 1, 2 }) {
        fixture.begin(number, { 7, number });
        fixture.reply(platform_status::Conflict, { rowOf({ 8, 1 }, 4) });
    }
    cr_assert_eq(fixture.keys.handleReport(agentLink, { { 8, 1 }, attempt_state::Completed }).size(), 2U);
}

Test(request_keys, calls_the_order_unknown_if_the_holder_is_of_another_life)
{
    request_keys_fixture fixture;
    fixture.begin(1, { 7, 1 });
    const auto decision = fixture.reply(platform_status::Conflict,
        { rowOf({ 8, 1 }, 4, binding_state::Bound, agentLife - 1) });
    cr_assert(is<end_request>(decision));
    cr_assert(outcomeOf(*decision) == execution::Unknown);
}

Test(request_keys, calls_the_order_unknown_if_the_agent_has_forgotten)
{
    request_keys_fixture fixture;
    fixture.begin(1, { 7, 1 });
    fixture.reply(platform_status::Conflict, { rowOf({ 8, 1 }, 4) });
    const auto decisions = fixture.keys.handleReport(agentLink, { { 8, 1 }, attempt_state::Forgotten });
    cr_assert(outcomeOf(decisions.at(0)) == execution::Unknown);
}

Test(request_keys, refuses_other_content_under_the_same_key)
{
    request_keys_fixture fixture;
    fixture.begin(1, { 7, 1 });
    const auto decision = fixture.reply(platform_status::Conflict,
        { rowOf({ 8, 1 }, 4, binding_state::Released, agentLife, 10) });
    cr_assert(is<end_request>(decision));
    cr_assert_eq(std::get<end_request>(decision->step).answer.reason, "key_reused");
}

Test(request_keys, frees_a_binding_whose_request_has_ended_before_it_was_sent)
{
    request_keys_fixture fixture;
    fixture.begin(1, { 7, 1 });
    fixture.keys.remove(1);
    cr_assert(!fixture.reply(platform_status::Done, { rowOf({ 7, 1 }, 4) }));
    const auto put = fixture.lastCall<table_put>();
    cr_assert_eq(put.expected, 4U);
    cr_assert(decodeKeyBinding(put.value).state == binding_state::Released);
    cr_assert(!fixture.reply(platform_status::Done, { rowOf({ 7, 1 }, 5, binding_state::Released) }));
}

Test(request_keys, frees_a_binding_whose_endpoint_has_gone_out_meanwhile)
{
    request_keys_fixture fixture;
    fixture.begin(1, { 7, 1 });
    fixture.endpoints.remove(agentLink);
    cr_assert(!fixture.reply(platform_status::Done, { rowOf({ 7, 1 }, 4) }));
    cr_assert(is<retry_placement>(fixture.reply(platform_status::Done, { rowOf({ 7, 1 }, 5, binding_state::Released) })));
}

Test(request_keys, binds_anew_where_the_row_is_past_its_retention)
{
    request_keys_fixture fixture;
    fixture.begin(1, { 7, 1 });
    fixture.reply(platform_status::Conflict, { rowOf({ 8, 1 }, 4) });
    fixture.keys.handleReport(agentLink, { { 8, 1 }, attempt_state::NeverStarted });
    fixture.keys.bindKey(fixture.context(), 1, { 7, 2 }, *fixture.endpoints.find(agentLink));
    cr_assert(!fixture.reply(platform_status::Conflict, { { "row", "", 0 } }));
    cr_assert_eq(fixture.lastCall<table_put>().expected, 0U);
}

Test(request_keys, says_not_started_if_the_row_can_not_be_read)
{
    request_keys_fixture fixture;
    fixture.begin(1, { 7, 1 });
    const auto decision = fixture.reply(platform_status::Conflict, { { "row", "not json", 4 } });
    cr_assert(is<end_request>(decision));
    cr_assert(outcomeOf(*decision) == execution::NotStarted);
}
