#include "decisions/agent/agent_reducer.h"

#include <criterion/criterion.h>

using namespace appleramp;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr link_number entryLink = 1;

// An agent with a healthy endpoint and a link to one entry.
struct agent_fixture {
    instant now { seconds(10) };
    agent_reducer agent;
    agent_effects effects;

    agent_fixture()
        : agent(identity())
    {
        apply(link_opened { entryLink, {} });
        apply(engine_probed { true, "boot-1", 0, 0 });
        receive(hello { instance_id("entry-1"), process_role::Entry, availability_zone_id("a"), std::nullopt });
    }

    static agent_identity identity()
    {
        agent_identity self;
        self.instance = instance_id("agent-1");
        self.zone = availability_zone_id("a");
        self.life = 1;
        self.endpoint = { endpoint_id("engine-1"), endpoint_kind::ModelEngine, { service_id("m") }, {} };
        self.limits = { 4, 4, seconds(2) };
        return self;
    }
    void apply(agent_event_body body)
    {
        effects = agent.apply({ now, std::move(body) });
    }
    void receive(link_message message) { apply(message_received { entryLink, { 9, 0, std::move(message) } }); }
    void startAttempt(std::uint64_t number, std::uint64_t contentHash)
    {
        start_attempt message { { 9, number }, {}, false, 1 };
        message.request.service = service_id("m");
        message.request.repeatable = true;
        message.request.contentHash = contentHash;
        message.request.timeout = seconds(60);
        receive(message);
    }
    template <typename Effect>
    std::size_t countEffects() const
    {
        return static_cast<std::size_t>(std::count_if(effects.begin(), effects.end(),
            [](const auto& effect) { return std::holds_alternative<Effect>(effect); }));
    }
    template <typename Message>
    std::optional<Message> firstSent() const
    {
        for (const auto& effect : effects) {
            const auto* send = std::get_if<send_message>(&effect);
            if (send && std::holds_alternative<Message>(send->envelope.message))
                return std::get<Message>(send->envelope.message);
        }
        return std::nullopt;
    }
};

} // namespace

Test(suspect_run, runs_alone_after_the_others_have_ended)
{
    agent_fixture fixture;
    fixture.startAttempt(1, 71);
    fixture.apply(engine_failed { 1, failure_cause::EndpointCrashed, false });
    cr_assert(fixture.firstSent<suspect_news>().has_value());
    fixture.startAttempt(2, 72);
    cr_assert_eq(fixture.countEffects<call_engine>(), 1U);
    fixture.startAttempt(3, 71);
    cr_assert_eq(fixture.countEffects<call_engine>(), 0U);
    fixture.startAttempt(4, 73);
    cr_assert(fixture.firstSent<attempt_refused>().has_value());
    fixture.apply(engine_head { 2, 200, {} });
    fixture.apply(engine_end { 2 });
    cr_assert_eq(fixture.countEffects<call_engine>(), 1U);
}

Test(suspect_run, is_refused_after_it_crashed_the_endpoint_alone)
{
    agent_fixture fixture;
    fixture.startAttempt(1, 71);
    fixture.apply(engine_failed { 1, failure_cause::EndpointCrashed, false });
    fixture.startAttempt(2, 71);
    cr_assert_eq(fixture.countEffects<call_engine>(), 1U);
    fixture.apply(engine_failed { 2, failure_cause::EndpointCrashed, false });
    cr_assert(!fixture.firstSent<attempt_failed>().has_value());
    fixture.now += milliseconds(50);
    fixture.apply(engine_probed { false, "", 0, 0 });
    cr_assert(fixture.firstSent<attempt_failed>().has_value());
    cr_assert(fixture.firstSent<suspect_news>()->records.at(0).level == suspicion::Convicted);
    fixture.apply(engine_probed { true, "boot-2", 0, 0 });
    fixture.startAttempt(3, 71);
    cr_assert(fixture.firstSent<attempt_refused>()->reason == refusal::SuspectRefused);
}

Test(suspect_run, is_not_convicted_for_a_broken_connection)
{
    agent_fixture fixture;
    fixture.startAttempt(1, 71);
    fixture.apply(engine_failed { 1, failure_cause::EndpointCrashed, false });
    fixture.startAttempt(2, 71);
    fixture.apply(engine_failed { 2, failure_cause::EndpointCrashed, false });
    fixture.now += milliseconds(300);
    fixture.apply(engine_probed { true, "boot-1", 0, 0 });
    cr_assert(fixture.firstSent<attempt_failed>().has_value());
    fixture.startAttempt(3, 71);
    cr_assert_eq(fixture.countEffects<call_engine>(), 1U);
}
