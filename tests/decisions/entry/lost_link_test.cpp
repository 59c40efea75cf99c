#include "decisions/entry/entry_reducer.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <optional>

using namespace appleramp;
using namespace std::chrono_literals;

namespace {

const service_id reads("reads");
constexpr incarnation entryLife = 1;
constexpr incarnation agentLife = 2;
constexpr link_number firstLink = 1;
constexpr link_number secondLink = 2;
// Retries of a team and service that have sent little.
constexpr request_number initialRetries = 3;

// An entry that has sent requests to an agent, all of them repeatable and none of them answered yet.
class entry_with_sent_requests {
public:
    entry_with_sent_requests(request_number requests, std::uint32_t maxRetries)
        : m_reducer({ instance_id("e1"), availability_zone_id("a"), entryLife })
    {
        fleet_configuration configuration;
        configuration.version = 1;
        configuration.defaults.maxRetries = maxRetries;
        configuration.defaults.retryBudgetPercent = 0;
        configuration.services[reads].repeatableRoutes = { "/" };
        connect(firstLink, agentLife);
        receive(firstLink, configuration_news { {}, configuration });
        receive(firstLink, slot_grant { 1, 8, 60s, false, {} });
        for (request_number number = 1; number <= requests; ++number) {
            service_request request;
            request.service = reads;
            request.path = "/read";
            request.timeout = 30s;
            request.contentHash = number;
            apply(request_received { number, request });
            cr_assert(sent<start_attempt>(firstLink));
        }
    }

    void connect(link_number link, incarnation life)
    {
        apply(link_opened { link, instance_id("a1") });
        hello greeting { instance_id("a1"), process_role::Agent, availability_zone_id("a"), endpoint_description {} };
        greeting.endpoint->services = { reads };
        receive(link, greeting, life);
    }

    void loseLink() { apply(link_closed { firstLink, instance_id("a1") }); }
    // In steps, since a process that hears nothing for longer counts as paused.
    void pass(duration time)
    {
        for (const instant end = m_now + time; m_now < end;) {
            m_now += 50ms;
            apply(time_passed {});
        }
    }

    template <typename Message>
    std::optional<Message> sent(link_number link) const
    {
        for (const entry_effect& effect : m_effects) {
            const auto* const message = std::get_if<send_message>(&effect);
            if (message != nullptr && message->link == link && std::holds_alternative<Message>(message->envelope.message))
                return std::get<Message>(message->envelope.message);
        }
        return std::nullopt;
    }

    std::size_t failed() const { return m_failed; }

private:
    void receive(link_number link, link_message message, incarnation sender = agentLife)
    {
        apply(message_received { link, { sender, 0, std::move(message) } });
    }

    void apply(entry_event_body body)
    {
        m_effects = m_reducer.apply({ m_now, std::move(body) });
        m_failed += static_cast<std::size_t>(
            std::count_if(m_effects.begin(), m_effects.end(), [](const entry_effect& effect) { return std::holds_alternative<reply_problem>(effect); }));
    }

    entry_reducer m_reducer;
    instant m_now { 10s };
    entry_effects m_effects;
    std::size_t m_failed = 0;
};

} // namespace

// Guards against answers that are given up because a link broke, before it is known that the request may be sent again (LOST): its agent
// goes on with the request for some seconds, and connects again.
Test(lost_link, a_request_that_may_not_be_sent_again_is_resumed)
{
    entry_with_sent_requests entry(1, 0);
    entry.loseLink();
    cr_assert_eq(entry.failed(), 0U);
    entry.pass(500ms);
    cr_assert_eq(entry.failed(), 0U);
    entry.connect(secondLink, agentLife);
    cr_assert(entry.sent<resume_attempt>(secondLink).has_value());
}

Test(lost_link, a_request_without_a_retry_in_the_budget_is_resumed)
{
    entry_with_sent_requests entry(initialRetries + 1, 2);
    entry.loseLink();
    cr_assert_eq(entry.failed(), 0U);
    entry.connect(secondLink, agentLife);
    const auto resumed = entry.sent<resume_attempt>(secondLink);
    cr_assert(resumed.has_value());
    cr_assert_eq(resumed->attempt.number, initialRetries + 1);
}

Test(lost_link, a_request_whose_agent_started_again_fails)
{
    entry_with_sent_requests entry(1, 0);
    entry.loseLink();
    entry.connect(secondLink, agentLife + 1);
    cr_assert_eq(entry.failed(), 1U);
}

Test(lost_link, a_request_whose_agent_stays_away_fails_within_seconds)
{
    entry_with_sent_requests entry(1, 0);
    entry.loseLink();
    entry.pass(3500ms);
    cr_assert_eq(entry.failed(), 0U);
    entry.pass(1s);
    cr_assert_eq(entry.failed(), 1U);
}
